/**
 * Blocks all input and output of an instance that is paused or has crashed.
 * What the instance sent before still takes effect.
 */
import type {PeerError, PeerNetwork} from '@fireflytrack/wire';
import type {Result} from '@fireflytrack/result';

export class InstanceGate {
  private pausedUntilMs = 0;
  private dead = false;
  private resolveKilled = () => {};
  readonly killed = new Promise<void>(
    resolve => (this.resolveKilled = resolve),
  );

  pause(durationMs: number): void {
    const untilMs = performance.now() + durationMs;
    this.pausedUntilMs = Math.max(this.pausedUntilMs, untilMs);
  }

  kill(): void {
    this.dead = true;
    this.resolveKilled();
  }

  isDead(): boolean {
    return this.dead;
  }

  /** Resolves when the instance is running; stays pending if it is dead. */
  async waitUntilRunning(): Promise<void> {
    while (!this.dead) {
      const waitMs = this.pausedUntilMs - performance.now();
      if (waitMs <= 0) return;
      await new Promise(resolve => setTimeout(resolve, waitMs));
    }
    await new Promise(() => {});
  }
}

/** A peer network whose requests, in and out, wait for the gate. */
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
        await gate.waitUntilRunning();
        const response = await handler(from, payload);
        await gate.waitUntilRunning();
        return response;
      }),
    request: async (...request): Promise<Result<unknown, PeerError>> => {
      await gate.waitUntilRunning();
      const response = await inner.request(...request);
      await gate.waitUntilRunning();
      return response;
    },
  };
}
