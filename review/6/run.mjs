/**
 * Open connections to the store go silent while new ones work. A backend server
 * then leaves without reporting `draining`. DRAIN: no request of a machine in
 * touch reaches it later than drain_ms after the store acknowledged that it is
 * gone.
 */
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {BOUNDS, Gateway, Proxy, Record, Store, Target, ask, configuration, now, route, sleep} from '../harness/harness.mjs';

const folder = dirname(fileURLToPath(import.meta.url));
const trouble = process.env.TROUBLE !== '0';
const ROUNDS = 3;
/** After its removal a server serves for drain_ms and a little longer, and exits. */
const EXIT_MS = BOUNDS.drain_ms + 1200;
const SERVICE = 'visa';
const zones = {'nord-a': 'nord'};
const record = new Record();

const store = await Store.start();
const proxy = await Proxy.start(store.host, store.port);
const targets = [];
for (let i = 0; i < ROUNDS + 2; i += 1) {
  targets.push(await Target.start(store, {id: `i-${i}`, service: SERVICE, zone: 'nord-a', slots: 8, workMs: 260}));
}
store.put('op', 'config', configuration({
  version: 7,
  services: [SERVICE],
  routes: [route({name: 'certify', prefix: '/certify/', kind: 'unsafe', service: SERVICE, open: true})],
}));
const gateways = [1, 2].map(i => new Gateway({name: `front-nord-a-${i}`, zone: 'nord-a', zones, storeHost: proxy.host, storePort: proxy.port}));
const requests = [];
let code = 2;
let asking = true;
const askAll = async () => {
  while (asking) {
    for (const gateway of gateways) {
      void ask(gateway, {method: 'POST', path: '/certify/1', host: 'shop.example', deadlineMs: 2500}).then(r => requests.push(r));
    }
    await sleep(30);
  }
};
try {
  for (const gateway of gateways) gateway.start();
  for (const gateway of gateways) await gateway.waitReady();
  await sleep(4000);
  const traffic = askAll();
  await sleep(2000);
  const rounds = [];
  for (let i = 0; i < ROUNDS; i += 1) {
    const silentAtMs = now();
    const silenced = trouble ? proxy.silenceOpen() : 0;
    record.add(`round ${i}: ${silenced} connections to the store are silent`);
    await sleep(400);
    const target = targets[i];
    const goneAtMs = target.unregister();
    record.add(`round ${i}: the entry of ${target.id} is removed`);
    rounds.push({target, silentAtMs, goneAtMs});
    await sleep(EXIT_MS);
    target.stop();
    record.add(`round ${i}: ${target.id} exits`);
    await sleep(9000 - EXIT_MS);
  }
  asking = false;
  await traffic;
  await sleep(2600);
  const sent = new Map(requests.map(r => [r.requestId, r]));
  let late = 0;
  for (const {target, silentAtMs, goneAtMs} of rounds) {
    // A machine is in touch contact_ms after the end of its connections.
    const inTouchAtMs = trouble ? silentAtMs + BOUNDS.contact_ms : 0;
    const fromMs = Math.max(goneAtMs + BOUNDS.drain_ms, inTouchAtMs);
    const last = Math.max(...target.arrivals.map(a => a.atMs));
    const broken = target.arrivals.filter(a => a.atMs > fromMs && sent.get(a.requestId)?.sentAtMs > inTouchAtMs);
    late += broken.length;
    record.add(`${target.id}: last request ${((last - goneAtMs) / 1000).toFixed(3)} s after its removal, ${((last - silentAtMs) / 1000).toFixed(3)} s after the silence; ${broken.length} requests reached it too late`);
    for (const a of broken) {
      const r = sent.get(a.requestId);
      record.add(`  ${a.requestId} from ${r.gateway}: sent ${((r.sentAtMs - goneAtMs) / 1000).toFixed(3)} s, arrived ${((a.atMs - goneAtMs) / 1000).toFixed(3)} s after the removal, answered ${r.status ?? r.error}`);
    }
  }
  const cut = rounds.flatMap(({target, goneAtMs}) => target.arrivals.filter(a => a.atMs > goneAtMs + BOUNDS.drain_ms && sent.get(a.requestId)?.status !== 200));
  record.add(`${cut.length} unsafe requests that reached such a server after drain_ms were not answered with success: ${cut.map(a => `${a.requestId} ${sent.get(a.requestId)?.status ?? sent.get(a.requestId)?.error}`).join(', ')}`);
  const served = requests.filter(r => r.status === 200).length;
  record.add(`${requests.length} requests sent, ${served} answered 200; ${late} reached a server that had left`);
  code = late > 0 ? 1 : served < requests.length / 2 ? 2 : 0;
} catch (error) {
  record.add(`could not run: ${error.stack}`);
} finally {
  asking = false;
  for (const gateway of gateways) {
    for (const {atMs, line} of gateway.log) {
      if (/dependency|leads|follows|server left|history|feed source|uncaught/.test(line)) record.add(`log of ${gateway.name} at ${(atMs / 1000).toFixed(3)}: ${line.slice(0, 260)}`);
    }
    await gateway.dispose();
  }
  for (const target of targets) target.stop();
  proxy.stop();
  store.stop();
  record.add(`exit code ${code}`);
  record.save(folder);
}
process.exit(code);
