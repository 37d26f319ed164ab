/**
 * Plausible but incorrect registries. A checker that accepted them would prove
 * nothing about the real registry.
 */
import {Err, Ok} from '@fireflytrack/result';
import {TableOnceRegistry} from '@fireflytrack/once';
import type {
  DispatchOutcome,
  OnceError,
  OnceRequest,
  StoredAnswer,
} from '@fireflytrack/once';
import type {TableService} from '@fireflytrack/platform';
import type {Result} from '@fireflytrack/result';
import type {OnceFleetOptions, RegistryFactory} from './once-fleet.js';

type Dispatch = () => Promise<DispatchOutcome>;
type OnceResult = Result<StoredAnswer, OnceError>;
type RunRequest = (
  request: OnceRequest,
  dispatch: Dispatch,
) => Promise<OnceResult>;

const MAX_ATTEMPTS = 3;
const TAKE_OVER_AFTER_MS = 2000;

/** Retries every failed dispatch and stores no claim. */
export const retryEverything: RegistryFactory = () =>
  createNaiveRegistry(async (_, dispatch) => {
    let outcome = await dispatch();
    for (let attempt = 1; attempt < MAX_ATTEMPTS; attempt += 1) {
      if (outcome.kind === 'answered') break;
      outcome = await dispatch();
    }
    return toResult(outcome);
  });

/** Takes over a claim that is older than a timeout. */
export const takeOverAfterTimeout: RegistryFactory = ({table}) =>
  createNaiveRegistry(async ({idempotencyKey}, dispatch) => {
    const row = await table.get(`once/t/${idempotencyKey}`);
    if (row.err) return storeUnavailable();
    const value = row.val?.value as {claimedAtMs: number} | undefined;
    const ageMs = Date.now() - (value?.claimedAtMs ?? 0);
    if (ageMs < TAKE_OVER_AFTER_MS) return toResult(CLAIMED_OUTCOME);
    const ifVersion = row.val?.version ?? 0;
    if (!(await writeClaim(table, idempotencyKey, ifVersion))) {
      return storeUnavailable();
    }
    return toResult(await dispatch());
  });

/** Returns "not run" and frees the key when the server's response is lost. */
export const notRunAfterLostResponse: RegistryFactory = options => {
  const registry = TableOnceRegistry.create(options);
  const run: RunRequest = (request, dispatch) =>
    registry.run(request, async () => {
      const outcome = await dispatch();
      if (outcome.kind !== 'unknown') return outcome;
      return {kind: 'not-run', reason: outcome.reason};
    });
  return {
    run,
    start: () => registry.start(),
    stop: () => registry.stop(),
  };
};

/** Stores one response per team instead of one per key. */
export const oneResponsePerTeam: RegistryFactory = options => {
  const registry = TableOnceRegistry.create(options);
  let storedResponse: StoredAnswer | undefined;
  return createNaiveRegistry(async (request, dispatch) => {
    if (storedResponse) return Ok(storedResponse);
    const result = await registry.run(request, dispatch);
    if (result.ok) storedResponse = result.val;
    return result;
  });
};

/** Ends a planned stop without waiting for the calls in flight. */
export const stopImmediately: OnceFleetOptions = {
  createRegistry: options => TableOnceRegistry.create(options),
  stopImmediately: true,
};

const CLAIMED_OUTCOME: DispatchOutcome = {kind: 'unknown', reason: 'claimed'};

function createNaiveRegistry(run: RunRequest) {
  return {run, start: () => {}, stop: async () => {}};
}

async function writeClaim(
  table: TableService,
  key: string,
  ifVersion: number,
): Promise<boolean> {
  const value = {claimedAtMs: Date.now()};
  const put = {kind: 'put' as const, key: `once/t/${key}`, ifVersion, value};
  const results = await table.batch([put], {atomic: false});
  return results.ok && results.val[0]?.applied === true;
}

function storeUnavailable(): OnceResult {
  return Err({kind: 'store-unavailable', message: 'no claim'});
}

function toResult(outcome: DispatchOutcome): OnceResult {
  if (outcome.kind === 'answered') return Ok(outcome.answer);
  return Err({kind: outcome.kind, message: outcome.reason});
}
