/** The message by which instances detect reachability in both directions. */
import {z} from 'zod';

export const HEARTBEAT_KIND = 'membership/heartbeat';
export const HEARTBEAT_PERIOD_MS = 200;

const ageMs = z.number().nonnegative();

export const heartbeatSchema = z.object({
  sequence: z.number().int().positive(),
  /** Highest sequence that the sender received; absent before the first. */
  echo: z.number().int().positive().optional(),
  leaving: z.boolean(),
  /** Age of the sender's freshness evidence; absent if it has none. */
  freshnessAgeMs: ageMs.optional(),
  /** Age of the sender's last read of the store; present only if it failed. */
  failedReadAgeMs: ageMs.optional(),
});
export type Heartbeat = z.infer<typeof heartbeatSchema>;

/** Only echoes of this many most recent heartbeats are evaluated. */
const MAX_TRACKED_SEQUENCES = 64;

/**
 * Send times of this instance's recent heartbeats, on its own monotonic clock.
 */
export class SentHeartbeats {
  private readonly sentAtMs = new Map<number, number>();
  private lastSequence = 0;

  /** Records that a heartbeat is sent now and returns its sequence number. */
  startNext(): number {
    this.lastSequence += 1;
    this.sentAtMs.set(this.lastSequence, performance.now());
    this.sentAtMs.delete(this.lastSequence - MAX_TRACKED_SEQUENCES);
    return this.lastSequence;
  }

  /** Send time of the echoed heartbeat; undefined if absent or too old. */
  findSentAtMs(echo: number | undefined): number | undefined {
    return echo === undefined ? undefined : this.sentAtMs.get(echo);
  }
}
