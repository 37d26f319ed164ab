/**
 * Plausible but wrong registries. A checker that finds nothing wrong with them
 * would prove nothing about the real one.
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
type Run = (request: OnceRequest, dispatch: Dispatch) => Promise<OnceResult>;

const ATTEMPTS = 3;
const TAKE_OVER_AFTER_MS = 2000;

/** Repeats every failed dispatch and keeps no claim. */
export const retryEverything: RegistryFactory = () =>
  standIn(async (_, dispatch) => {
    let outcome = await dispatch();
    for (let attempt = 1; attempt < ATTEMPTS; attempt += 1) {
      if (outcome.kind === 'answered') break;
      outcome = await dispatch();
    }
    return resultOf(outcome);
  });

/** Takes a claim over when it is older than a timeout. */
export const takeOverAfterTimeout: RegistryFactory = ({table}) =>
  standIn(async ({idempotencyKey}, dispatch) => {
    const row = await table.get(`once/t/${idempotencyKey}`);
    if (row.err) return storeUnavailable();
    const value = row.val?.value as {claimedAtMs: number} | undefined;
    const ageMs = Date.now() - (value?.claimedAtMs ?? 0);
    if (ageMs < TAKE_OVER_AFTER_MS) return resultOf(UNKNOWN);
    const ifVersion = row.val?.version ?? 0;
    if (!(await claimAt(table, idempotencyKey, ifVersion))) {
      return storeUnavailable();
    }
    return resultOf(await dispatch());
  });

/** Says "not run" and frees the key when the server's answer is lost. */
export const notRunAfterLostAnswer: RegistryFactory = options => {
  const registry = TableOnceRegistry.create(options);
  const run: Run = (request, dispatch) =>
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

/** Keeps one answer for a team instead of one for each key. */
export const answerOfTeam: RegistryFactory = options => {
  const registry = TableOnceRegistry.create(options);
  let kept: StoredAnswer | undefined;
  return standIn(async (request, dispatch) => {
    if (kept) return Ok(kept);
    const result = await registry.run(request, dispatch);
    if (result.ok) kept = result.val;
    return result;
  });
};

/** Ends the process of a planned stop without waiting for its calls. */
export const stopAtOnce: OnceFleetOptions = {
  createRegistry: options => TableOnceRegistry.create(options),
  stopAtOnce: true,
};

const UNKNOWN: DispatchOutcome = {kind: 'unknown', reason: 'claimed'};

function standIn(run: Run) {
  return {run, start: () => {}, stop: async () => {}};
}

async function claimAt(
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

function resultOf(outcome: DispatchOutcome): OnceResult {
  if (outcome.kind === 'answered') return Ok(outcome.answer);
  return Err({kind: outcome.kind, message: outcome.reason});
}
