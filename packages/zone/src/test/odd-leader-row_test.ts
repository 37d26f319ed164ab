/** Guards against odd rows in the table by which instances find each other. */
import {MemoryTable} from '@fireflytrack/platform';
import type {TableRow} from '@fireflytrack/platform';
import {createLogger} from '@fireflytrack/telemetry';
import type {Logger} from '@fireflytrack/telemetry';
import {KnownLimits} from '@fireflytrack/upstream';
import {expect} from 'earl';
import {once} from 'node:events';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {sleep} from '@fireflytrack/time';
import {findFleetSecret} from '../lib/fleet-secret.js';
import {parseLeaders} from '../lib/leader-row.js';
import type {Leader} from '../lib/leader-row.js';
import {ZoneMember} from '../lib/zone-member.js';

const OWN: Leader = {
  instanceId: 'n1',
  lifeId: 'l1',
  availabilityZone: 'nord-a',
  region: 'nord',
  host: '127.0.0.1',
  port: 7100,
  instances: 1,
};

function leaderRow(change: Record<string, unknown>, zone = 'nord-a'): TableRow {
  return {key: `leader/${zone}`, version: 1, value: {...OWN, ...change}};
}

const ODD_LEADERS: Record<string, Record<string, unknown>> = {
  'an id of 201 characters': {instanceId: 'i'.repeat(201)},
  'an id with a line end': {instanceId: 'n1\n'},
  'a huge run': {lifeId: 'l'.repeat(1_000_000)},
  'a zone with a NUL': {availabilityZone: 'nord\0a'},
  'another zone': {availabilityZone: 'sud-a'},
  'a huge host': {host: 'h'.repeat(1_000_000)},
  'a host with a NUL': {host: 'a\0b'},
  'a port of 65536': {port: 65_536},
  'a port of 1e308': {port: 1e308},
  'a port as text': {port: '80'},
  '1e300 instances': {instances: 1e300},
  'a million instances': {instances: 1_000_000},
  'no instances': {instances: 0},
  'a fraction of an instance': {instances: 1.5},
};

describe('row of a zone leader', () => {
  // Guards against leaders that cannot be reached, and numbers of instances that
  // leave no connections to servers.
  for (const [oddity, change] of Object.entries(ODD_LEADERS)) {
    it(`is not taken with ${oddity}`, () => {
      const rows = [leaderRow(change), leaderRow({availabilityZone: 'b'}, 'b')];
      expect([...parseLeaders(rows).keys()]).toEqual(['b']);
    });
  }

  // Guards against a check that drops rows which instances write.
  it('is taken with further fields', () => {
    expect(parseLeaders([leaderRow({more: [1]})]).size).toEqual(1);
  });
});

describe('secret of the fleet', () => {
  const oddSecrets: Record<string, unknown> = {
    'a number': 7,
    'an object': {secret: 'x'},
    'an empty text': '',
    'a huge text': 's'.repeat(1_000_000),
    nothing: undefined,
  };
  for (const [oddity, value] of Object.entries(oddSecrets)) {
    it(`is not ${oddity}`, () => {
      const rows = [{key: 'secret', version: 3, value}];
      expect(findFleetSecret(rows)).toEqual(undefined);
    });
  }
});

describe('member of a zone', () => {
  let table: MemoryTable;
  let member: ZoneMember;
  let scans: number;
  let lines: string[];
  let logger: Logger;

  beforeEach(() => {
    table = MemoryTable.create();
    scans = 0;
    const scan = table.scan.bind(table);
    table.scan = async (prefix, limit) => {
      scans += 1;
      await sleep(1);
      return scan(prefix, limit);
    };
    lines = [];
    logger = createLogger({level: 'info', silent: true});
    logger.warn = ((message: string) => {
      lines.push(message);
      return logger;
    }) as typeof logger.warn;
  });
  afterEach(() => member.stop());

  async function put(key: string, value: unknown): Promise<void> {
    await table.batch([{kind: 'put', key, ifVersion: 0, value}], {
      atomic: true,
    });
  }

  async function freePort(): Promise<number> {
    const server = createServer().listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    server.close();
    return port;
  }

  async function join(): Promise<void> {
    member = ZoneMember.create({
      self: {...OWN, port: await freePort()},
      table,
      rateBounds: {overrun: 0, slack: 0},
      retryBounds: {ratio: 0.1, fleetAllowance: 1, windowMs: 1000, zones: 1},
      findTeam: () => undefined,
      limits: KnownLimits.create(logger),
      estimateInstances: () => 1,
      feeds: [],
      followers: [],
      onServerFailure: () => {},
      logger,
    });
    member.start();
    await sleep(1200);
  }

  // Guards against instances that never join, and call the store without a pause,
  // because the secret of another writer is no text.
  it('replaces a secret that cannot be used', async () => {
    await put('secret', {odd: true});
    await join();
    expect(member.isLeader).toEqual(true);
    const rows = (await table.scan('', 100)).unwrap();
    expect(typeof findFleetSecret(rows)).toEqual('string');
    expect(lines).toEqual(['fleet secret not usable, writing another']);
  });

  // Guards against calls without a pause while the secret cannot be replaced.
  it('pauses between attempts to replace the secret', async () => {
    await put('secret', {odd: true});
    const conflict = {applied: false as const, current: undefined};
    table.batch = async operations =>
      ({ok: true, err: false, val: operations.map(() => conflict)}) as never;
    await join();
    expect(scans < 10).toEqual(true);
  });

  // Guards against a zone without a leader because of an odd row in its place.
  it('takes the place of an odd row, which costs one log line', async () => {
    await put('leader/nord-a', {...OWN, port: 1e308});
    await put('leader/sud-a', 'odd');
    await join();
    await sleep(2500);
    expect(member.isLeader).toEqual(true);
    const odd = lines.filter(line => line === 'leader row not taken');
    expect(odd.length).toEqual(2);
  });

  // Guards against a process that ends because the table throws.
  it('goes on after an exception of the table', async () => {
    await join();
    const {scan} = table;
    table.scan = () => Promise.reject(new Error('odd table'));
    await sleep(2500);
    table.scan = scan;
    expect(member.isLeader).toEqual(true);
    expect(lines.includes('zone election interrupted')).toEqual(true);
  });
});
