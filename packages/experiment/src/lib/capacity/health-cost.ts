/** Measures the cost of pooled evidence by the number of targets and peers. */
import type {Configuration} from '@fireflytrack/configuration';
import {EVIDENCE_KIND, PooledSelector} from '@fireflytrack/health';
import {FixedMembership} from '@fireflytrack/membership';
import {DisabledMetrics, createLogger} from '@fireflytrack/telemetry';
import {Encoder} from 'cbor-x';
import {FixedConfiguration} from '../fleet/fleet-configuration.js';
import {PausedClock} from '../fleet/paused-clock.js';
import {StubNetwork} from './stub-network.js';

export interface HealthCost {
  targets: number;
  peers: number;
  /** Size of a frame to one peer with an entry for every target. */
  frameBytes: number;
  /** Cores used by 5 frames/s from each peer, including health decisions. */
  cores: number;
}

const TARGETS_PER_SERVICE = 12;
const RUN_MS = 2000;
const FRAME_INTERVAL_MS = 200;
const REQUESTS_PER_TARGET = 2;

export async function measureHealthCost(
  targets: number,
  peers: number,
): Promise<HealthCost> {
  const clock = PausedClock.install(1);
  try {
    const network = StubNetwork.create(peers);
    const configuration = buildConfiguration(targets);
    const selector = createSelector(configuration, network);
    selector.start();
    generateEvidence(selector, configuration);
    await clock.advance(FRAME_INTERVAL_MS);
    const frame = network.lastBroadcast.get(EVIDENCE_KIND);
    const cpu = process.cpuUsage();
    await clock.advance(RUN_MS, elapsedMs => {
      if (elapsedMs % FRAME_INTERVAL_MS !== 0) return;
      for (const peer of network.peers()) {
        network.deliver(EVIDENCE_KIND, peer, frame);
      }
    });
    const {user, system} = process.cpuUsage(cpu);
    selector.stop();
    const frameBytes = new Encoder({useRecords: false}).encode(frame).length;
    const cores = (user + system) / 1000 / RUN_MS;
    return {targets, peers, frameBytes, cores};
  } finally {
    clock.uninstall();
  }
}

function createSelector(
  configuration: Configuration,
  network: StubNetwork,
): PooledSelector {
  return PooledSelector.create({
    source: FixedConfiguration.create(configuration),
    network,
    membership: FixedMembership.create(network.self, network.peers()),
    logger: createLogger({level: 'error', silent: true}),
    metrics: DisabledMetrics.create(),
    probe: () => Promise.resolve('up'),
  });
}

function generateEvidence(
  selector: PooledSelector,
  configuration: Configuration,
): void {
  for (const service of configuration.services.values()) {
    const requests = service.servers.length * REQUESTS_PER_TARGET;
    for (let remaining = requests; remaining > 0; remaining -= 1) {
      const selected = selector.select(service.name, {excluded: new Set()});
      if (selected.ok) selected.val.settle({kind: 'ok', latencyMs: 20});
    }
  }
}

function buildConfiguration(targets: number): Configuration {
  const services: Configuration['services'] = new Map();
  for (let first = 0; first < targets; first += TARGETS_PER_SERVICE) {
    const name = `service-${first}`;
    const servers = Array.from({length: TARGETS_PER_SERVICE}, (_, index) => {
      const host = `10.${first >> 8}.${first & 255}.${index + 1}`;
      const availabilityZone = 'nord-1';
      return {serverId: `${host}:9000`, host, port: 9000, availabilityZone};
    });
    services.set(name, {
      name,
      servers,
      dependsOn: [],
      slotsPerServer: 4,
      connectionsPerServer: 360,
      capacityFloor: 0.5,
    });
  }
  return {
    schemaVersion: 1,
    name: 'capacity',
    maxInstances: 40,
    services,
    routes: [],
    teams: new Map(),
  };
}
