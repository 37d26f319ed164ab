/**
 * A simulated instance: its decision modules, called in the same order as by
 * the real request path.
 */
import type {Selection, ServerOutcome} from '@fireflytrack/health';
import type {Admission} from '@fireflytrack/limits';
import type {FixedMembership} from '@fireflytrack/membership';
import type {PeerIdentity} from '@fireflytrack/wire';
import type {BackendResult, FakeBackend} from './fake-backend.js';
import type {DecisionModules} from './fleet-variant.js';

export interface InstanceEnvironment {
  backends: ReadonlyMap<string, FakeBackend>;
  /** One-way network delay from this instance to a server. */
  delayToMs(serverId: string): number;
  onDispatch(serverId: string): void;
}

export type ServeResult =
  | {kind: 'refused'}
  | {kind: 'failed'; reason: ServerOutcome['kind'] | 'no-server'}
  /** `addedMs`: latency beyond the service time and the network round trip. */
  | {kind: 'served'; addedMs: number};

interface AttemptResult {
  kind: ServerOutcome['kind'];
  idealMs: number;
}

const MAX_ATTEMPTS = 3;
const DEADLINE_MS = 2000;

export class FleetInstance {
  private constructor(
    readonly identity: PeerIdentity,
    readonly membership: FixedMembership,
    readonly modules: DecisionModules,
    private readonly environment: InstanceEnvironment,
  ) {}

  static create(
    identity: PeerIdentity,
    membership: FixedMembership,
    modules: DecisionModules,
    environment: InstanceEnvironment,
  ): FleetInstance {
    return new FleetInstance(identity, membership, modules, environment);
  }

  admit(teamName: string): Admission | Promise<Admission> {
    return this.modules.limiter.admit(teamName);
  }

  /** Serves one idempotent request, modelled on `RequestPath.runIdempotent`. */
  async serve(serviceName: string, startedAtMs: number): Promise<ServeResult> {
    const excluded = new Set<string>();
    let reason: ServerOutcome['kind'] | 'no-server' = 'no-server';
    const {selector, retries} = this.modules;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      if (attempt > 0 && retries?.tryTake(serviceName) === false) break;
      const selected = selector.select(serviceName, {excluded});
      if (selected.err) break;
      excluded.add(selected.val.server.serverId);
      const deadlineAtMs = startedAtMs + DEADLINE_MS;
      const result = await this.attempt(selected.val, deadlineAtMs);
      reason = result.kind;
      if (result.kind === 'ok') {
        const totalMs = performance.now() - startedAtMs;
        return {kind: 'served', addedMs: totalMs - result.idealMs};
      }
      if (performance.now() >= deadlineAtMs) break;
    }
    return {kind: 'failed', reason};
  }

  private attempt(
    selection: Selection,
    deadlineAtMs: number,
  ): Promise<AttemptResult> {
    const {serverId} = selection.server;
    const backend = this.environment.backends.get(serverId)!;
    const delayMs = this.environment.delayToMs(serverId);
    const startedAtMs = performance.now();
    this.environment.onDispatch(serverId);
    return new Promise(resolve => {
      let cancel = () => {};
      const finish = (result: BackendResult) => {
        clearTimeout(deadline);
        const latencyMs = performance.now() - startedAtMs;
        selection.settle({kind: result.kind, latencyMs});
        const idealMs = result.nominalMs + 2 * delayMs;
        resolve({kind: result.kind, idealMs});
      };
      const deadline = setTimeout(
        () => {
          cancel();
          finish({kind: 'fault', nominalMs: 0});
        },
        Math.max(1, deadlineAtMs - startedAtMs),
      );
      cancel = this.callAfterDelay(backend, delayMs, finish);
    });
  }

  private callAfterDelay(
    backend: FakeBackend,
    delayMs: number,
    onResult: (result: BackendResult) => void,
  ): () => void {
    let cancelled = false;
    let cancelCall = () => {};
    runAfterDelay(delayMs, () => {
      if (cancelled) return;
      cancelCall = backend.call(this.identity.instanceId, result =>
        runAfterDelay(delayMs, () => {
          if (!cancelled) onResult(result);
        }),
      );
    });
    return () => {
      cancelled = true;
      cancelCall();
    };
  }
}

/**
 * Runs `action` at once if the delay rounds to 0 ms, since the fake clock would
 * wait for 1 ms.
 */
function runAfterDelay(delayMs: number, action: () => void): void {
  const rounded = Math.round(delayMs);
  if (rounded === 0) action();
  else setTimeout(action, rounded);
}
