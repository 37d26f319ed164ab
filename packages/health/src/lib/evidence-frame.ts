/**
 * The message `health/evidence`: the counts that one instance sends to its peers each period.
 *
 * Servers are named by their position in the service's sorted server ids, with
 * a digest of that list, so that an entry takes a few bytes. A receiver that
 * has another list ignores the service until both have the same configuration.
 */
import {createHash} from 'node:crypto';
import {z} from 'zod';
import type {PeriodCounts} from './period-counts.js';

export const EVIDENCE_KIND = 'health/evidence';

// Far more than one instance can observe at one server in 200 ms.
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

/** For each service: its name, the digest of its server list, the entries. */
export type EvidenceFrame = z.infer<typeof evidenceFrameSchema>;

/**
 * `draining`: the server reported it to the sender. `held-out`: out of rotation
 * because peers reported that it drains. `readmitted`: readmitted after a probe
 * and still ramping up.
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
  /** Position of the server in the service's sorted ids. */
  index: number;
  state: ReportedState;
  /** Ejections in a row, which set the next time of readmission. */
  ejections: number;
  /** Requests of the sender at this server. */
  outstanding: number;
  counts: PeriodCounts;
}

/** The entry as a positional array without trailing zeros. */
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
  const at = (position: number) => fields[position] ?? 0;
  return {
    index: at(0),
    state: STATES[at(1)] ?? 'in-rotation',
    ejections: at(2),
    outstanding: at(3),
    counts: {
      successes: at(4),
      faults: at(5),
      failedChecks: at(6),
      shed: at(7),
      latencySamples: at(8),
      slowSamples: at(9),
      overdue: at(10),
      verySlowSamples: at(11),
    },
  };
}

/** A 32-bit digest of the sorted server ids. */
export function serverListDigest(serverIds: readonly string[]): number {
  const hash = createHash('sha256').update(serverIds.join('\n')).digest();
  return hash.readUInt32BE(0);
}
