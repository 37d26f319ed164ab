/**
 * Idle connections of the members of a zone to the store go silent. Some seconds
 * later their leader is cut off from the store, and the operator moves a route to
 * another service. CONFIG: what a client sends to a machine in touch later than
 * config_apply_ms after the acknowledgement is not run by the old service.
 */
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {BOUNDS, Gateway, Proxy, Record, Store, Target, ask, configuration, now, route, sleep} from '../harness/harness.mjs';

const folder = dirname(fileURLToPath(import.meta.url));
const trouble = process.env.TROUBLE !== '0';
const ROUNDS = 6;
/** Longer than contact_ms: the members are in touch when the cut begins. */
const CALM_MS = BOUNDS.contact_ms + 500;
const CUT_MS = 4000;
const SERVICES = ['visa', 'sejour'];
const zones = {'nord-a': 'nord'};
const record = new Record();

const store = await Store.start();
let lastWriter;
store.onTransaction = tx => {
  for (const {key, value} of tx.set_keys ?? []) {
    const row = JSON.parse(Buffer.from(value, 'base64').toString());
    if (!row.instanceId) continue;
    lastWriter = row.instanceId;
    record.add(`${row.instanceId} wrote ${key}`);
  }
};
const targets = [];
for (const service of SERVICES) {
  for (let i = 0; i < 3; i += 1) {
    targets.push(await Target.start(store, {id: `i-${service}-${i}`, service, zone: 'nord-a', slots: 16, workMs: 10}));
  }
}
let version = 7;
const putConfiguration = service => {
  version += 3;
  return store.put('op', 'config', configuration({
    version,
    services: SERVICES,
    routes: [route({name: 'certify', prefix: '/certify/', kind: 'unsafe', service, open: true})],
  }));
};
putConfiguration(SERVICES[0]);
const gateways = [];
for (let i = 1; i <= 3; i += 1) {
  const proxy = await Proxy.start(store.host, store.port);
  const gateway = new Gateway({name: `front-nord-a-${i}`, zone: 'nord-a', zones, storeHost: proxy.host, storePort: proxy.port});
  gateways.push(Object.assign(gateway, {proxy}));
}
const requests = new Map();
let code = 2;
let asking = true;
const askAll = async () => {
  while (asking) {
    for (const gateway of gateways) {
      void ask(gateway, {method: 'POST', path: '/certify/1', host: 'shop.example', deadlineMs: 2500}).then(r => requests.set(r.requestId, r));
    }
    await sleep(25);
  }
};
try {
  for (const gateway of gateways) gateway.start();
  for (const gateway of gateways) await gateway.waitReady();
  await sleep(4000);
  const traffic = askAll();
  const rounds = [];
  for (let i = 0; i < ROUNDS; i += 1) {
    const leader = gateways.find(g => g.name === lastWriter);
    const members = gateways.filter(g => g !== leader);
    if (trouble) {
      for (const {name, proxy} of members) record.add(`round ${i}: ${proxy.silenceOpen()} connections of ${name} to the store are silent`);
    }
    await sleep(CALM_MS);
    // The leader has just been told that nothing has changed, and tells the members.
    await store.nextFeedAnswer('op');
    await sleep(15);
    if (trouble) {
      leader.proxy.isCut = true;
      leader.proxy.silenceOpen();
      record.add(`round ${i}: ${leader.name} is cut off from the store`);
    }
    const [before, after] = i % 2 === 0 ? SERVICES : [SERVICES[1], SERVICES[0]];
    const atMs = putConfiguration(after);
    record.add(`round ${i}: r${version} is acknowledged: the route moves from ${before} to ${after}`);
    rounds.push({atMs, before, members, index: i});
    await sleep(CUT_MS);
    leader.proxy.isCut = false;
    record.add(`round ${i}: the cut ends`);
    await sleep(2500);
  }
  asking = false;
  await traffic;
  await sleep(2600);
  let late = 0;
  for (const {atMs, before, members, index} of rounds) {
    const arrivals = targets.filter(t => t.service === before).flatMap(t => t.arrivals);
    for (const {name} of members) {
      const old = arrivals.map(a => requests.get(a.requestId)).filter(r => r && r.gateway === name && r.sentAtMs > atMs && r.sentAtMs < atMs + CUT_MS + 2000);
      const broken = old.filter(r => r.sentAtMs > atMs + BOUNDS.config_apply_ms);
      late += broken.length;
      const lastMs = Math.max(0, ...old.map(r => r.sentAtMs - atMs));
      record.add(`round ${index}: ${name} sent its last request to the old service ${lastMs.toFixed(0)} ms after the acknowledgement (when its client sent it); ${broken.length} later than ${BOUNDS.config_apply_ms} ms`);
    }
  }
  const served = [...requests.values()].filter(r => r.status === 200).length;
  record.add(`${requests.size} requests sent, ${served} answered 200; ${late} ran at the old service too late`);
  code = late > 0 ? 1 : served < requests.size / 2 ? 2 : 0;
} catch (error) {
  record.add(`could not run: ${error.stack}`);
} finally {
  asking = false;
  for (const gateway of gateways) {
    for (const {atMs, line} of gateway.log) {
      if (/dependency|leads|follows|feed source|policy in force|uncaught/.test(line)) record.add(`log of ${gateway.name} at ${(atMs / 1000).toFixed(3)}: ${line.slice(0, 300)}`);
    }
    await gateway.dispose();
    gateway.proxy.stop();
  }
  for (const target of targets) target.stop();
  store.stop();
  record.add(`exit code ${code}`);
  record.save(folder);
}
process.exit(code);
