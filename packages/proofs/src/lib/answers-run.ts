/**
 * Seeded runs of callers through the real request path to backend servers
 * with faults, on loopback sockets: whole own answers (P6) and no key at any
 * backend server (P3).
 */
import {KEY, startEntry} from '@fireflytrack/entry/testing';
import fc from 'fast-check';
import {request} from 'undici';
import {AnswersBackend, expectedBody} from './answers-backend.js';
import type {AnswerFault} from './answers-backend.js';
import {NaiveProxy} from './answers-naive.js';
import {History} from './history.js';
import type {SeededRun} from './seeds.js';

export type ProxyVariant = 'fireflytrack' | 'naive';

interface PlannedCall {
  index: number;
  large: boolean;
  /** Where the caller puts its key. */
  keyPlace: 'header' | 'bearer' | 'query';
  /** Where the caller puts a second copy, by mistake. */
  strayPlace: 'none' | 'cookie' | 'referer' | 'parameter' | 'body';
}

interface Plan {
  calls: PlannedCall[];
  faults: AnswerFault[];
}

const BACKENDS = 3;
const CALLS = 40;
const FAULTS: AnswerFault[] = [
  'none',
  'none',
  'none',
  'short',
  'foreign',
  'altered',
  'late',
  'broken',
];

const planArbitrary: fc.Arbitrary<Plan> = fc.record({
  calls: fc.array(
    fc.record({
      index: fc.nat(1_000_000),
      large: fc.boolean(),
      keyPlace: fc.constantFrom('header', 'bearer', 'query'),
      strayPlace: fc.constantFrom(
        'none',
        'none',
        'cookie',
        'referer',
        'parameter',
        'body',
      ),
    }),
    {minLength: CALLS, maxLength: CALLS},
  ),
  faults: fc.array(fc.constantFrom(...FAULTS), {
    minLength: CALLS,
    maxLength: CALLS,
  }),
});

/** Runs a plan and returns what callers and backend servers saw. */
export async function recordAnswers(
  plan: Plan,
  variant: ProxyVariant,
): Promise<History> {
  const history = History.create();
  let answers = 0;
  const nextFault = () => plan.faults[answers++ % plan.faults.length]!;
  const backends = await Promise.all(
    Array.from({length: BACKENDS}, (_, index) =>
      AnswersBackend.start({name: `server-${index}`, history, nextFault}),
    ),
  );
  const ports = backends.map(backend => backend.port);
  const proxy =
    variant === 'naive'
      ? await NaiveProxy.start(ports)
      : await startEntry(ports);
  await Promise.all(plan.calls.map(call => send(proxy.url, call, history)));
  await proxy.close();
  for (const backend of backends) backend.stop();
  return history;
}

async function send(
  url: string,
  call: PlannedCall,
  history: History,
): Promise<void> {
  const path = `/stock/${call.large ? 'large' : 'small'}-${call.index}`;
  const query = new URLSearchParams();
  const headers: Record<string, string> = {};
  if (call.keyPlace === 'header') headers['x-api-key'] = KEY;
  if (call.keyPlace === 'bearer') headers['authorization'] = `Bearer ${KEY}`;
  if (call.keyPlace === 'query') query.set('api_key', KEY);
  if (call.strayPlace === 'cookie') headers['cookie'] = `k=${KEY}`;
  if (call.strayPlace === 'referer') headers['referer'] = `/?k=${KEY}`;
  if (call.strayPlace === 'parameter') query.set('copy', KEY);
  const withBody = call.strayPlace === 'body';
  const target = query.size > 0 ? `${path}?${query}` : path;
  const finish = history.invoke('caller', 'lookup', path);
  try {
    const answer = await request(`${url}${target}`, {
      method: withBody ? 'POST' : 'GET',
      headers,
      body: withBody ? `copy ${KEY}` : null,
    });
    const body = await answer.body.text();
    finish({status: answer.statusCode, body});
  } catch (error) {
    finish({error: String(error)});
  }
}

/** P6: an answer that looks whole is the whole answer to the own request. */
export function checkAnswers(history: History): void {
  for (const {operationId, output} of history.operations) {
    const {status, body} = output as {status?: number; body?: string};
    if (status !== 200 || body === expectedBody(operationId)) continue;
    throw new Error(`${operationId} got another or altered answer`);
  }
}

/** P3: nothing that a backend server received holds the key's secret. */
export function checkKeys(history: History): void {
  const secret = KEY.slice(KEY.lastIndexOf('_') + 1);
  for (const {process, value} of history.ofKind('received')) {
    if (String(value).includes(secret)) {
      throw new Error(`${process} received a key`);
    }
  }
}

export interface AnswersRunOptions {
  variant?: ProxyVariant;
  runs?: number;
}

export function answersRun(
  name: string,
  check: (history: History) => void,
  options: AnswersRunOptions = {},
): SeededRun {
  const {variant = 'fireflytrack', runs = 3} = options;
  const property = fc.asyncProperty(planArbitrary, async plan =>
    check(await recordAnswers(plan, variant)),
  );
  return {
    name,
    run: seed => fc.assert(property, {seed, numRuns: runs, endOnFailure: true}),
  };
}

export const answersRuns: readonly SeededRun[] = [
  answersRun(
    'P6 callers get whole answers to their own requests',
    checkAnswers,
  ),
  answersRun('P3 no backend server receives a key', checkKeys),
];
