/**
 * The servers of a service fail a part of their requests. Then the process that
 * leads the zone, and grants the repeats, is killed once. BUDGET: in no
 * retry_window_s does the service get more arrivals beyond the first of each
 * request than retry_budget_ratio x its requests + retry_slack.
 */
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {BOUNDS, Gateway, Record, Store, Target, ask, configuration, now, route, sleep} from '../harness/harness.mjs';

const folder = dirname(fileURLToPath(import.meta.url));
const trouble = process.env.TROUBLE !== '0';
const SERVICE = 'compteur';
const FAILED_SHARE = 0.7;
/** The longest and strongest of the site files (8.5 s, 0.72). */
const GREY_MS = 8500;
const KILL_AFTER_MS = 3500;
const REQUESTS_PER_S = 60;
const zones = {'nord-a': 'nord'};
const record = new Record();

const store = await Store.start();
/** Name of the process that last wrote to the store under a condition. */
let lastWriter;
store.onTransaction = tx => {
  for (const {key, value} of tx.set_keys ?? []) {
    const row = JSON.parse(Buffer.from(value, 'base64').toString());
    if (!row.instanceId) continue;
    lastWriter = row.instanceId;
    record.add(`${row.instanceId} wrote ${key}`);
  }
};
let isGrey = false;
const fail = (req, res) => {
  if (!isGrey || Math.random() >= FAILED_SHARE) return false;
  const requestId = req.headers['request-id'];
  req.resume();
  setTimeout(() => res.writeHead(500, {'request-id': requestId, 'response-seal': `seal.${requestId}`, 'content-length': 0}).end(), 3);
  return true;
};
const targets = [];
for (let i = 0; i < 8; i += 1) {
  targets.push(await Target.start(store, {id: `i-${i}`, service: SERVICE, zone: 'nord-a', slots: 8, workMs: 30, handle: fail}));
}
store.put('op', 'config', configuration({
  version: 7,
  services: [SERVICE],
  routes: [route({name: 'hourly-read', prefix: '/hourly/', service: SERVICE, attempts: 3, open: true})],
}));
const gateways = [1, 2, 3].map(i => new Gateway({name: `front-nord-a-${i}`, zone: 'nord-a', zones, storeHost: store.host, storePort: store.port}));
const requests = [];
let code = 2;
let asking = true;
const askAll = async () => {
  for (let i = 0; asking; i += 1) {
    const gateway = gateways[i % gateways.length];
    // The platform sends no connections to a machine that is down.
    const up = gateway.child.hasEnded ? gateways.find(g => !g.child.hasEnded) : gateway;
    void ask(up, {path: `/hourly/${i}`, host: 'shop.example'}).then(r => requests.push(r));
    await sleep(1000 / REQUESTS_PER_S);
  }
};
try {
  for (const gateway of gateways) gateway.start();
  for (const gateway of gateways) await gateway.waitReady();
  await sleep(2000);
  const traffic = askAll();
  await sleep(14_000);
  isGrey = true;
  record.add(`the servers fail ${FAILED_SHARE} of their requests`);
  await sleep(KILL_AFTER_MS);
  if (trouble) {
    const leader = gateways.find(g => g.name === lastWriter);
    record.add(`kills ${leader.name}`);
    await leader.kill();
    void sleep(300).then(() => leader.start());
  }
  await sleep(GREY_MS - KILL_AFTER_MS);
  isGrey = false;
  await sleep(3000);
  asking = false;
  await traffic;
  await sleep(2100);
  const windowMs = BOUNDS.retry_window_s * 1000;
  const sentAt = requests.map(r => r.sentAtMs).sort((a, b) => a - b);
  const known = new Set(requests.map(r => r.requestId));
  const seen = new Set();
  const repeats = [];
  for (const a of targets.flatMap(t => t.arrivals).sort((x, y) => x.atMs - y.atMs)) {
    if (!known.has(a.requestId)) continue;
    if (seen.has(a.requestId)) repeats.push(a.atMs);
    seen.add(a.requestId);
  }
  const countIn = (times, from) => times.filter(t => t >= from && t < from + windowMs).length;
  let worst = {over: -Infinity};
  for (const from of repeats) {
    const asked = Math.max(countIn(sentAt, from), countIn(sentAt, from - windowMs), countIn(sentAt, from - windowMs / 2));
    const bound = BOUNDS.retry_budget_ratio * asked + BOUNDS.retry_slack;
    const count = countIn(repeats, from);
    if (count - bound > worst.over) worst = {over: count - bound, count, bound, asked, from};
  }
  const counts = {};
  for (const r of requests) counts[r.status ?? r.error] = (counts[r.status ?? r.error] ?? 0) + 1;
  record.add(`answers: ${JSON.stringify(counts)}`);
  for (let t = Math.floor(repeats[0] / 1000); t < repeats.at(-1) / 1000; t += 1) {
    record.add(`  repeats in second ${t}: ${repeats.filter(x => x >= t * 1000 && x < t * 1000 + 1000).length}`);
  }
  record.add(`${requests.length} requests, ${repeats.length} repeats; the worst window of ${windowMs / 1000} s, from ${(worst.from / 1000).toFixed(2)}: ${worst.count} repeats, bound ${worst.bound.toFixed(1)} with ${worst.asked} requests`);
  code = worst.over > 0 ? 1 : repeats.length < 50 ? 2 : 0;
} catch (error) {
  record.add(`could not run: ${error.stack}`);
} finally {
  asking = false;
  for (const gateway of gateways) {
    for (const {atMs, line} of gateway.log) {
      if (/leads|lost the lead|follows|uncaught/.test(line)) record.add(`log of ${gateway.name} at ${(atMs / 1000).toFixed(3)}: ${line.slice(0, 260)}`);
    }
    await gateway.dispose();
  }
  for (const target of targets) target.stop();
  store.stop();
  record.add(`exit code ${code}`);
  record.save(folder);
}
process.exit(code);
