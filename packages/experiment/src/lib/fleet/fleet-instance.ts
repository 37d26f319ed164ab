/**
 * One instance of the fleet in a scenario: its decision modules, and the order
 * in which the request path uses them.
 */
import type {Selection, ServerOutcome} from '@fireflytrack/health';
import type {Admission} from '@fireflytrack/limits';
import type {FixedMembership} from '@fireflytrack/membership';
import type {PeerIdentity} from '@fireflytrack/wire';
import type {BackendResult, FakeBackend} from './fake-backend.js';
import type {DecisionModules} from './fleet-variant.js';

export interface InstanceEnvironment {
  backends: ReadonlyMap<string, FakeBackend>;
  /** One-way delay between this instance and a server. */
  delayToMs(serverId: string): number;
  onDispatch(serverId: string): void;
}

export type ServeResult =
  | {kind: 'refused'}
  | {kind: 'failed'; reason: ServerOutcome['kind'] | 'no-server'}
  /** `addedMs`: beyond the work and the way to the server. */
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
    private readonly links: InstanceEnvironment,
  ) {}

  static create(
    identity: PeerIdentity,
    membership: FixedMembership,
    modules: DecisionModules,
    links: InstanceEnvironment,
  ): FleetInstance {
    return new FleetInstance(identity, membership, modules, links);
  }

  admit(teamName: string): Admission | Promise<Admission> {
    return this.modules.limiter.admit(teamName);
  }

  /** Serves one idempotent request, as `RequestPath.runIdempotent` does. */
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
      const end = await this.attempt(selected.val, deadlineAtMs);
      reason = end.kind;
      if (end.kind === 'ok') {
        const totalMs = performance.now() - startedAtMs;
        return {kind: 'served', addedMs: totalMs - end.idealMs};
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
    const backend = this.links.backends.get(serverId)!;
    const delayMs = this.links.delayToMs(serverId);
    const startedAtMs = performance.now();
    this.links.onDispatch(serverId);
    return new Promise(resolve => {
      let cancel = () => {};
      const end = (answer: BackendResult) => {
        clearTimeout(deadline);
        const latencyMs = performance.now() - startedAtMs;
        selection.settle({kind: answer.kind, latencyMs});
        const idealMs = answer.nominalMs + 2 * delayMs;
        resolve({kind: answer.kind, idealMs});
      };
      const deadline = setTimeout(
        () => {
          cancel();
          end({kind: 'fault', nominalMs: 0});
        },
        Math.max(1, deadlineAtMs - startedAtMs),
      );
      cancel = this.callAfterDelay(backend, delayMs, end);
    });
  }

  private callAfterDelay(
    backend: FakeBackend,
    delayMs: number,
    done: (answer: BackendResult) => void,
  ): () => void {
    let cancelled = false;
    let cancelCall = () => {};
    after(delayMs, () => {
      if (cancelled) return;
      cancelCall = backend.call(this.identity.instanceId, answer =>
        after(delayMs, () => {
          if (!cancelled) done(answer);
        }),
      );
    });
    return () => {
      cancelled = true;
      cancelCall();
    };
  }
}

/** Delays that round to 0 ms run at once; the fake clock would make them 1. */
function after(delayMs: number, action: () => void): void {
  const rounded = Math.round(delayMs);
  if (rounded === 0) action();
  else setTimeout(action, rounded);
}
