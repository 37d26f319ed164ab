/** The message that instances exchange to detect reachability in each direction. */
import {z} from 'zod';

export const HEARTBEAT_KIND = 'membership/heartbeat';
export const HEARTBEAT_PERIOD_MS = 200;

const ageMs = z.number().nonnegative();

export const heartbeatSchema = z.object({
  sequence: z.number().int().positive(),
  /** Newest sequence received from the receiver; absent before the first. */
  echo: z.number().int().positive().optional(),
  leaving: z.boolean(),
  /** Age of the sender's freshness evidence; absent without any. */
  freshnessAgeMs: ageMs.optional(),
  /** Age of the sender's last read of the store; absent unless it failed. */
  failedReadAgeMs: ageMs.optional(),
});
export type Heartbeat = z.infer<typeof heartbeatSchema>;

/** Echoes of older heartbeats than this many are ignored. */
const KEPT_SEQUENCES = 64;

/** When this instance sent its recent heartbeats, on its own clock. */
export class SentHeartbeats {
  private readonly sentAtMs = new Map<number, number>();
  private lastSequence = 0;

  /** Starts the next heartbeat and returns its sequence. */
  next(): number {
    this.lastSequence += 1;
    this.sentAtMs.set(this.lastSequence, performance.now());
    this.sentAtMs.delete(this.lastSequence - KEPT_SEQUENCES);
    return this.lastSequence;
  }

  /** When the echoed heartbeat was sent; undefined if it is too old. */
  timeOf(echo: number | undefined): number | undefined {
    return echo === undefined ? undefined : this.sentAtMs.get(echo);
  }
}
