/**
 * Naive selection of a random server. Each instance on its own ejects a server
 * for a fixed time after three consecutive faults, without a capacity floor.
 *
 * The baseline of the measurements and proofs.
 */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import type {
  BackendServer,
  ConfigurationSource,
} from '@fireflytrack/configuration';
import type {
  NoServerError,
  SelectOptions,
  Selection,
  ServerOutcome,
  ServerSelector,
} from './server-selector.js';

const FAULTS_TO_EJECT = 3;
const EJECTION_MS = 30_000;

interface ServerState {
  consecutiveFaults: number;
  ejectedUntilMs: number;
}

export class RandomSelector implements ServerSelector {
  private readonly states = new Map<string, ServerState>();

  private constructor(private readonly source: ConfigurationSource) {}

  static create(source: ConfigurationSource): RandomSelector {
    return new RandomSelector(source);
  }

  select(
    serviceName: string,
    options: SelectOptions,
  ): Result<Selection, NoServerError> {
    const service = this.source
      .current()
      ?.configuration.services.get(serviceName);
    const nowMs = performance.now();
    const candidates = (service?.servers ?? []).filter(
      server =>
        !options.excluded.has(server.serverId) &&
        this.getOrCreateState(server).ejectedUntilMs <= nowMs,
    );
    const index = Math.floor(Math.random() * candidates.length);
    const server = candidates[index];
    if (!server) return Err({kind: 'no-server', retryAfterMs: 1000});
    return Ok({server, settle: outcome => this.settle(server, outcome)});
  }

  private settle(server: BackendServer, outcome: ServerOutcome): void {
    const state = this.getOrCreateState(server);
    if (outcome.kind !== 'fault') {
      state.consecutiveFaults = 0;
      return;
    }
    state.consecutiveFaults += 1;
    if (state.consecutiveFaults < FAULTS_TO_EJECT) return;
    state.consecutiveFaults = 0;
    state.ejectedUntilMs = performance.now() + EJECTION_MS;
  }

  private getOrCreateState(server: BackendServer): ServerState {
    let state = this.states.get(server.serverId);
    if (!state) {
      state = {consecutiveFaults: 0, ejectedUntilMs: 0};
      this.states.set(server.serverId, state);
    }
    return state;
  }
}
