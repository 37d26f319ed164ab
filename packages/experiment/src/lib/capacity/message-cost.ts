/** Measures the size and the encoding and decoding time of peer messages. */
import {Encoder} from 'cbor-x';
import {meanUs} from './stopwatch.js';

export interface MessageCost {
  message: string;
  frameBytes: number;
  encodeUs: number;
  decodeUs: number;
}

const LENGTH_BYTES = 4;
const EVIDENCE_ENTRY = [11, 0, 0, 3, 12, 1, 0, 0, 240, 5200, 2];
// The same options as in the peer protocol.
const codec = new Encoder({useRecords: false, mapsAsObjects: true});

export function measureMessageCosts(): MessageCost[] {
  return [
    measureMessage(
      'heartbeat',
      buildMessage('membership/heartbeat', buildHeartbeat()),
    ),
    ...[12, 120, 1200].map(targets =>
      measureMessage(`evidence, ${targets} targets`, buildEvidence(targets)),
    ),
    ...[8, 80, 800].map(teams =>
      measureMessage(`levels, ${teams} teams`, buildLevels(teams)),
    ),
  ];
}

function measureMessage(name: string, value: unknown): MessageCost {
  const bytes = codec.encode(value);
  return {
    message: name,
    frameBytes: bytes.length + LENGTH_BYTES,
    encodeUs: meanUs(() => void codec.encode(value)),
    decodeUs: meanUs(() => void codec.decode(bytes)),
  };
}

function buildMessage(kind: string, payload: unknown) {
  return {type: 'message', kind, payload};
}

function buildHeartbeat() {
  return {
    sequence: 123_457,
    echo: 123_456,
    leaving: false,
    freshnessAgeMs: 312.5,
  };
}

function buildEvidence(targets: number) {
  const entries = Array.from({length: targets}, () => EVIDENCE_ENTRY);
  return buildMessage('health/evidence', [['counting', 305_419_896, entries]]);
}

function buildLevels(teams: number) {
  const lendableMicro: Record<string, number> = {};
  for (let index = 0; index < teams; index += 1) {
    lendableMicro[`team-${index}`] = 1_234_567 + index;
  }
  return buildMessage('limits/levels', {lendableMicro});
}
