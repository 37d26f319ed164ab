/** Checkers of at-most-once execution; each returns the violations. */
import type {History, HistoryOperation} from './history.js';
import type {Execution} from './once-backend.js';
import type {CallInput, CallOutput} from './once-fleet.js';

/** Returns one line per violation; none when the property holds. */
export type OnceChecker = (history: History) => string[];

/** Errors which promise that no server executed the request for this call. */
const NOT_RUN_KINDS = new Set([
  'not-run',
  'store-unavailable',
  'key-reused',
  'key-expired',
]);

/** P8: each key is executed at most once. */
export const checkAtMostOnce: OnceChecker = history => {
  const violations: string[] = [];
  const callByKey = new Map<string, string>();
  for (const {key, callId} of listExecutions(history)) {
    const first = callByKey.get(key);
    if (first)
      violations.push(
        `${key} was executed for ${first} and again for ${callId}`,
      );
    callByKey.set(key, callId);
  }
  return violations;
};

/** P7: a call that failed as "not run" is never executed, before or after. */
export const checkNotRun: OnceChecker = history => {
  const executed = new Set(
    listExecutions(history).map(execution => execution.callId),
  );
  return listCalls(history)
    .filter(call => NOT_RUN_KINDS.has(getOutput(call)?.kind ?? ''))
    .filter(call => executed.has(call.operationId))
    .map(
      call =>
        `${call.operationId} was executed but returned ${getOutput(call)?.kind}`,
    );
};

/** P6: a response is complete and belongs to the call's own key and request. */
export const checkOwnResponse: OnceChecker = history => {
  const executions = listExecutions(history);
  return listCalls(history).flatMap(call => {
    const output = getOutput(call);
    const {key, digest} = call.input as CallInput;
    const ownExecutions = executions.filter(
      execution => execution.key === key && execution.digest === digest,
    );
    if (output?.kind === 'answer' && 'body' in output) {
      if (ownExecutions.some(execution => execution.body === output.body))
        return [];
      return [
        `${call.operationId} for ${key} got a truncated or foreign response`,
      ];
    }
    if (output?.kind === 'answer-gone' && ownExecutions.length === 0) {
      return [
        `${call.operationId} for ${key} got answer-gone without an execution`,
      ];
    }
    return [];
  });
};

/** P10: only a crash, never a planned stop, interrupts a call. */
export const checkNoCallLostByStop: OnceChecker = history => {
  const crashed = new Set(
    history.eventsOfKind('crash').map(event => event.process),
  );
  return listCalls(history)
    .filter(call => getOutput(call)?.kind === 'connection-lost')
    .filter(call => !crashed.has((call.input as CallInput).instanceId))
    .map(call => `${call.operationId} was interrupted by a planned stop`);
};

function listExecutions(history: History): Execution[] {
  return history.eventsOfKind('execute').map(event => event.value as Execution);
}

function listCalls(history: History): HistoryOperation[] {
  return history.operations.filter(operation => operation.kind === 'call');
}

/** Returns undefined while the call is in progress. */
function getOutput(call: HistoryOperation): CallOutput | undefined {
  return call.output as CallOutput | undefined;
}
