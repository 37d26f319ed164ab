/**
 * The message `health/evidence`: the counts that one instance sends to its
 * peers each period.
 *
 * To keep entries small, a server is identified by its position in the sorted
 * list of the service's server ids, and the list by a digest. A receiver with a
 * different list ignores the service until both have the same configuration.
 */
import {createHash} from 'node:crypto';
import {z} from 'zod';
import type {PeriodCounts} from './period-counts.js';

export const EVIDENCE_KIND = 'health/evidence';

// Far more than one instance can count for a server in a period of 200 ms.
const MAX_COUNT = 1_000_000;
const ENTRY_FIELDS = 12;

const entrySchema = z
  .array(z.number().int().min(0).max(MAX_COUNT))
  .min(1)
  .max(ENTRY_FIELDS);
const serviceSchema = z.tuple([
  z.string(),
  z.number().int(),
  z.array(entrySchema),
]);
export const evidenceFrameSchema = z.array(serviceSchema);

/** For each service: name, digest of its server list, encoded entries. */
export type EvidenceFrame = z.infer<typeof evidenceFrameSchema>;

/**
 * `draining`: the server itself reported to the sender that it drains.
 * `held-out`: out of rotation because peers reported that it drains.
 * `readmitted`: readmitted after a probe and still ramping up.
 */
export type ReportedState =
  | 'in-rotation'
  | 'draining'
  | 'ejected'
  | 'readmitted'
  | 'held-out';

const STATES: readonly ReportedState[] = [
  'in-rotation',
  'draining',
  'ejected',
  'readmitted',
  'held-out',
];

export interface EvidenceEntry {
  /** Position in the sorted list of the service's server ids. */
  index: number;
  state: ReportedState;
  /** Consecutive ejections, which determine the delay until readmission. */
  ejections: number;
  /** Requests that the sender has in flight to this server. */
  outstanding: number;
  counts: PeriodCounts;
}

/** Encodes the entry as a positional array without trailing zeros. */
export function encodeEntry(entry: EvidenceEntry): number[] {
  const {counts} = entry;
  const fields = [
    entry.index,
    STATES.indexOf(entry.state),
    entry.ejections,
    entry.outstanding,
    counts.successes,
    counts.faults,
    counts.failedChecks,
    counts.shed,
    counts.latencySamples,
    counts.slowSamples,
    counts.overdue,
    counts.verySlowSamples,
  ];
  while (fields.length > 1 && fields.at(-1) === 0) fields.pop();
  return fields;
}

export function decodeEntry(fields: readonly number[]): EvidenceEntry {
  const fieldAt = (position: number) => fields[position] ?? 0;
  return {
    index: fieldAt(0),
    state: STATES[fieldAt(1)] ?? 'in-rotation',
    ejections: fieldAt(2),
    outstanding: fieldAt(3),
    counts: {
      successes: fieldAt(4),
      faults: fieldAt(5),
      failedChecks: fieldAt(6),
      shed: fieldAt(7),
      latencySamples: fieldAt(8),
      slowSamples: fieldAt(9),
      overdue: fieldAt(10),
      verySlowSamples: fieldAt(11),
    },
  };
}

/** Returns a 32-bit digest of the sorted server ids. */
export function serverListDigest(serverIds: readonly string[]): number {
  const hash = createHash('sha256').update(serverIds.join('\n')).digest();
  return hash.readUInt32BE(0);
}
