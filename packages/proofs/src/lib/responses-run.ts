/**
 * Seeded runs in which callers send requests through the real request path to
 * faulty backend servers on loopback sockets. They check that each caller gets
 * the complete response to its own request (P6) and that no backend server
 * receives a team key (P3).
 */
import {KEY, startEntry} from '@fireflytrack/entry/testing';
import fc from 'fast-check';
import {request} from 'undici';
import {FaultyBackend, expectedBody} from './responses-backend.js';
import type {ResponseFault} from './responses-backend.js';
import {NaiveProxy} from './responses-naive.js';
import {History} from './history.js';
import type {SeededRun} from './seeds.js';

export type ProxyVariant = 'fireflytrack' | 'naive';

interface PlannedCall {
  index: number;
  large: boolean;
  /** Where the request carries the key. */
  keyPlace: 'header' | 'bearer' | 'query';
  /** Where the request carries a second copy of the key by mistake. */
  strayPlace: 'none' | 'cookie' | 'referer' | 'parameter' | 'body';
}

interface ResponsesPlan {
  calls: PlannedCall[];
  faults: ResponseFault[];
}

const BACKEND_COUNT = 3;
const CALL_COUNT = 40;
const FAULTS: ResponseFault[] = [
  'none',
  'none',
  'none',
  'short',
  'foreign',
  'altered',
  'late',
  'broken',
];

const planArbitrary: fc.Arbitrary<ResponsesPlan> = fc.record({
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
    {minLength: CALL_COUNT, maxLength: CALL_COUNT},
  ),
  faults: fc.array(fc.constantFrom(...FAULTS), {
    minLength: CALL_COUNT,
    maxLength: CALL_COUNT,
  }),
});

/** Runs a plan and returns what callers and backend servers received. */
export async function recordResponses(
  plan: ResponsesPlan,
  variant: ProxyVariant,
): Promise<History> {
  const history = History.create();
  let responseCount = 0;
  const nextFault = () => plan.faults[responseCount++ % plan.faults.length]!;
  const backends = await Promise.all(
    Array.from({length: BACKEND_COUNT}, (_, index) =>
      FaultyBackend.start({name: `server-${index}`, history, nextFault}),
    ),
  );
  const ports = backends.map(backend => backend.port);
  const proxy =
    variant === 'naive'
      ? await NaiveProxy.start(ports)
      : await startEntry(ports);
  await Promise.all(plan.calls.map(call => sendCall(proxy.url, call, history)));
  await proxy.close();
  for (const backend of backends) backend.stop();
  return history;
}

async function sendCall(
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
  const keyInBody = call.strayPlace === 'body';
  const target = query.size > 0 ? `${path}?${query}` : path;
  const finish = history.startOperation('caller', 'lookup', path);
  try {
    const response = await request(`${url}${target}`, {
      method: keyInBody ? 'POST' : 'GET',
      headers,
      body: keyInBody ? `copy ${KEY}` : null,
    });
    const body = await response.body.text();
    finish({status: response.statusCode, body});
  } catch (error) {
    finish({error: String(error)});
  }
}

/** P6: each 200 response is the complete response to the caller's request. */
export function checkResponses(history: History): void {
  for (const {operationId, output} of history.operations) {
    const {status, body} = output as {status?: number; body?: string};
    if (status !== 200 || body === expectedBody(operationId)) continue;
    throw new Error(`${operationId} got a foreign or altered response`);
  }
}

/** P3: no data received by a backend server contains the key's secret. */
export function checkNoKeyReceived(history: History): void {
  const secret = KEY.slice(KEY.lastIndexOf('_') + 1);
  for (const {process, value} of history.eventsOfKind('received')) {
    if (String(value).includes(secret)) {
      throw new Error(`${process} received a key`);
    }
  }
}

export interface ResponsesRunOptions {
  variant?: ProxyVariant;
  runs?: number;
}

export function createResponsesRun(
  name: string,
  check: (history: History) => void,
  options: ResponsesRunOptions = {},
): SeededRun {
  const {variant = 'fireflytrack', runs = 3} = options;
  const property = fc.asyncProperty(planArbitrary, async plan =>
    check(await recordResponses(plan, variant)),
  );
  return {
    name,
    run: seed => fc.assert(property, {seed, numRuns: runs, endOnFailure: true}),
  };
}

export const responsesRuns: readonly SeededRun[] = [
  createResponsesRun(
    'P6 callers get whole answers to their own requests',
    checkResponses,
  ),
  createResponsesRun('P3 no backend server receives a key', checkNoKeyReceived),
];
