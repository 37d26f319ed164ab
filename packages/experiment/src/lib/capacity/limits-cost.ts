/** Measures the cost of rate limits by the number of teams with demand. */
import {BORROW_KIND, BorrowingLimiter} from '@fireflytrack/limits';
import type {Configuration, Team} from '@fireflytrack/configuration';
import {FixedMembership} from '@fireflytrack/membership';
import {MemoryTable} from '@fireflytrack/platform';
import {DisabledMetrics, createLogger} from '@fireflytrack/telemetry';
import {Encoder} from 'cbor-x';
import {FixedConfiguration} from '../fleet/fleet-configuration.js';
import {PausedClock} from '../fleet/paused-clock.js';
import {meanUs} from './stopwatch.js';
import {StubNetwork} from './stub-network.js';

export interface LimitsCost {
  teams: number;
  /** Size of a frame of levels, which is sent to each peer ten times a second. */
  levelsBytes: number;
  /** Time to process a received frame of levels. */
  receiveUs: number;
  /** Time to grant one borrow request. */
  lendUs: number;
  /** Time to admit one request from local tokens. */
  admitUs: number;
}

const LEVELS_KIND = 'limits/levels';
const PEERS = 39;
const SETTLE_MS = 2000;
const LEVELS_PERIOD_MS = 100;

export async function measureLimitsCost(teams: number): Promise<LimitsCost> {
  const clock = PausedClock.install(1);
  try {
    const network = StubNetwork.create(PEERS);
    const limiter = createLimiter(teams, network);
    limiter.start();
    await clock.advance(SETTLE_MS);
    const admitAll = () => {
      for (let index = 0; index < teams; index += 1) {
        void limiter.admit(`team-${index}`);
      }
    };
    const admitUs = meanUs(admitAll) / teams;
    await clock.advance(LEVELS_PERIOD_MS);
    const levels = network.lastBroadcast.get(LEVELS_KIND);
    const [peer] = network.peers();
    const request = {
      teamName: 'team-0',
      lotId: '1',
      wantedMicro: 1,
      lifetimeMs: 250,
    };
    let lotNumber = 0;
    const result = {
      teams,
      levelsBytes: new Encoder({useRecords: false}).encode(levels).length,
      receiveUs: meanUs(() => network.deliver(LEVELS_KIND, peer!, levels)),
      lendUs: meanUs(() => {
        lotNumber += 1;
        network.deliverRequest(BORROW_KIND, peer!, {
          ...request,
          lotId: String(lotNumber),
        });
      }),
      admitUs,
    };
    return result;
  } finally {
    clock.uninstall();
  }
}

function createLimiter(teams: number, network: StubNetwork): BorrowingLimiter {
  return BorrowingLimiter.create({
    source: FixedConfiguration.create(buildConfiguration(teams)),
    network,
    // The only member, which therefore owns all parts.
    membership: FixedMembership.create(network.self, []),
    table: MemoryTable.create(),
    logger: createLogger({level: 'error', silent: true}),
    metrics: DisabledMetrics.create(),
  });
}

function buildConfiguration(count: number): Configuration {
  const teams = new Map<string, Team>();
  for (let index = 0; index < count; index += 1) {
    const name = `team-${index}`;
    teams.set(name, {name, ratePerSecond: 1e6, burstTokens: 1e8});
  }
  return {
    schemaVersion: 1,
    name: 'capacity',
    maxInstances: 40,
    services: new Map(),
    routes: [],
    teams,
  };
}
