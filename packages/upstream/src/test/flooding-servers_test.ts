/**
 * Guards against servers that send bytes without end and thereby hold the event
 * loop or fill the memory, so that the callers of other servers are not served.
 */
import {expect} from 'earl';
import {fork} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import {describe, it} from 'node:test';
import {FLOOD_FORMS} from '../testing/flood-forms.js';
import {MemoryGrowth} from '../testing/memory-growth.js';
import {answerTo} from '../testing/scripted-server.js';
import {SERVICE, ScriptedUpstream} from '../testing/scripted-upstream.js';

const FLOOD_PROCESS = fileURLToPath(
  new URL('../testing/flood-process.js', import.meta.url),
);
const FLOODED_SERVICE = 'flooded';
const FLOODING_SERVERS = 4;
const FLOODED_CALLERS = 40;
const OTHER_CALLERS = 10;
const PLAY_MS = 2000;
// Garbage is collected again and again while memory is measured, which delays all
// requests.
const MEMORY_PLAY_MS = 1000;
const FLOODED_DEADLINE_MS = 1000;
// Latency objective of the other callers.
const OBJECTIVE_MS = 1000;
const MAX_LIVE_GROWTH_BYTES = 16 * 1024 * 1024;
const MAX_RESIDENT_GROWTH_BYTES = 96 * 1024 * 1024;

interface OtherCallers {
  /** How long each request that was served took. */
  tookMs: number[];
  failed: number;
}

/** Plays a flood for `playMs`; returns what the callers of other servers got. */
async function play(name: string, playMs: number): Promise<OtherCallers> {
  const child = fork(FLOOD_PROCESS, [name, String(FLOODING_SERVERS)]);
  const [ports] = (await once(child, 'message')) as [number[]];
  const scripted = await ScriptedUpstream.start([
    request => request.socket.write(answerTo(request, {body: 'good'})),
  ]);
  const [good] = scripted.entries;
  ports.forEach((port, index) => {
    const serverId = `flooding-${index}`;
    const service = FLOODED_SERVICE;
    const report = {...good!.report, serverId, port, service};
    scripted.upstream.addServer({...good!, report});
  });
  const endAtMs = performance.now() + playMs;
  let sent = 0;
  const run = (service: string, deadlineMs: number) => {
    sent += 1;
    const requestId = `r${sent}`;
    return scripted.upstream.run({
      route: service,
      service,
      request: {
        requestId,
        method: 'GET',
        target: '/',
        headers: ['Host', 'shop.example', 'Request-Id', requestId],
        body: {kind: 'none'},
      },
      team: 'north',
      rank: 1,
      isIdempotent: true,
      maxAttempts: 2,
      targetLatencyMs: OBJECTIVE_MS,
      deadlineAtMs: performance.now() + deadlineMs,
      abandoned: new AbortController().signal,
    });
  };
  const floodedCaller = async () => {
    while (performance.now() < endAtMs) {
      const outcome = await run(FLOODED_SERVICE, FLOODED_DEADLINE_MS);
      if (outcome.kind === 'answered') {
        const {response} = outcome;
        // Its caller leaves.
        if (response.kind === 'streamed') response.body.destroy();
      }
      await new Promise(resolve => setTimeout(resolve, 10));
    }
  };
  const tookMs: number[] = [];
  let failed = 0;
  const otherCaller = async () => {
    while (performance.now() < endAtMs) {
      const startedAtMs = performance.now();
      const outcome = await run(SERVICE, 2 * OBJECTIVE_MS);
      if (outcome.kind === 'answered') {
        tookMs.push(performance.now() - startedAtMs);
      } else {
        failed += 1;
      }
      await new Promise(resolve => setTimeout(resolve, 20));
    }
  };
  await Promise.all([
    ...Array.from({length: FLOODED_CALLERS}, floodedCaller),
    ...Array.from({length: OTHER_CALLERS}, otherCaller),
  ]);
  child.disconnect();
  scripted.stop();
  return {tookMs, failed};
}

describe('servers that send without end', () => {
  for (const {name} of FLOOD_FORMS) {
    it(`leave the callers of other servers alone: ${name}`, async () => {
      const {tookMs, failed} = await play(name, PLAY_MS);
      expect(failed).toEqual(0);
      expect(Math.max(...tookMs)).toBeLessThanOrEqual(OBJECTIVE_MS);
    });

    it(`do not fill the memory: ${name}`, async () => {
      const memory = MemoryGrowth.start();
      await play(name, MEMORY_PLAY_MS);
      const growth = memory.stop();
      expect(growth.liveBytes).toBeLessThan(MAX_LIVE_GROWTH_BYTES);
      expect(growth.residentBytes).toBeLessThan(MAX_RESIDENT_GROWTH_BYTES);
    });
  }
});
