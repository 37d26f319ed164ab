/**
 * What holds back an instance that is paused or has crashed: nothing goes in
 * or out. What it sent before goes on without it.
 */
import type {PeerError, PeerNetwork} from '@fireflytrack/wire';
import type {Result} from '@fireflytrack/result';

export class InstanceGate {
  private pausedUntilMs = 0;
  private dead = false;
  private markKilled = () => {};
  readonly killed = new Promise<void>(resolve => (this.markKilled = resolve));

  pause(durationMs: number): void {
    const untilMs = performance.now() + durationMs;
    this.pausedUntilMs = Math.max(this.pausedUntilMs, untilMs);
  }

  kill(): void {
    this.dead = true;
    this.markKilled();
  }

  isDead(): boolean {
    return this.dead;
  }

  /** Resolves when the instance runs; never when it is dead. */
  async pass(): Promise<void> {
    while (!this.dead) {
      const waitMs = this.pausedUntilMs - performance.now();
      if (waitMs <= 0) return;
      await new Promise(resolve => setTimeout(resolve, waitMs));
    }
    await new Promise(() => {});
  }
}

/** The requests of an instance as its gate lets them through. */
export function gatedNetwork(
  inner: PeerNetwork,
  gate: InstanceGate,
): PeerNetwork {
  return {
    self: inner.self,
    peers: () => inner.peers(),
    send: (...message) => inner.send(...message),
    broadcast: (...message) => inner.broadcast(...message),
    onMessage: (kind, handler) => inner.onMessage(kind, handler),
    onRequest: (kind, handler) =>
      inner.onRequest(kind, async (from, payload) => {
        await gate.pass();
        const answer = await handler(from, payload);
        await gate.pass();
        return answer;
      }),
    request: async (...request): Promise<Result<unknown, PeerError>> => {
      await gate.pass();
      const answer = await inner.request(...request);
      await gate.pass();
      return answer;
    },
  };
}
