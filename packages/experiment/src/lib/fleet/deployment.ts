/** The two deployments of section 1.3 of the design page. */
import type {PeerIdentity} from '@fireflytrack/wire';

export interface Deployment {
  name: 'tunisia' | 'lariana';
  /** The store is in the first region. */
  regions: readonly string[];
  zoneDelayMs: number;
  regionDelayMs: number;
  services: readonly string[];
  slotsPerServer: number;
}

export const INSTANCES = 40;
export const SERVERS_PER_SERVICE = 12;
export const CONNECTIONS_PER_SERVER = 360;
export const CONNECTION_COST_MS = 1;
export const PROBE_COST_MS = 25;
export const ZONES_PER_REGION = 2;
export const CAPACITY_FLOOR = 0.5;

// The paused clock advances in whole milliseconds, so the fake backend servers
// round this delay to 0.
const SAME_ZONE_DELAY_MS = 0.2;

export const DEPLOYMENTS: Readonly<Record<Deployment['name'], Deployment>> = {
  tunisia: {
    name: 'tunisia',
    regions: ['nord', 'sahel', 'sud'],
    zoneDelayMs: 1,
    regionDelayMs: 8,
    services: ['counting', 'certification', 'dwell', 'heatmaps'],
    slotsPerServer: 4,
  },
  lariana: {
    name: 'lariana',
    regions: ['lombardia', 'veneto', 'piemonte'],
    zoneDelayMs: 0.5,
    regionDelayMs: 8,
    services: ['catalogue', 'orders', 'stock', 'kilns'],
    slotsPerServer: 6,
  },
};

/** Zone of the instance or server `index`; spreads indexes evenly over zones. */
export function zoneForIndex(
  deployment: Deployment,
  index: number,
): {availabilityZone: string; region: string} {
  const region = deployment.regions[index % deployment.regions.length]!;
  const round = Math.floor(index / deployment.regions.length);
  const zone = (round % ZONES_PER_REGION) + 1;
  return {availabilityZone: `${region}-${zone}`, region};
}

type Location = Pick<PeerIdentity, 'availabilityZone' | 'region'>;

/** One-way network delay in milliseconds. */
export function delayBetween(
  deployment: Deployment,
  from: Location,
  to: Location,
): number {
  if (from.region !== to.region) return deployment.regionDelayMs;
  if (from.availabilityZone !== to.availabilityZone) {
    return deployment.zoneDelayMs;
  }
  return SAME_ZONE_DELAY_MS;
}
