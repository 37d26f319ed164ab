/** Draws faults of the instances of a simulated fleet from a seed. */
import {seededRandom} from './health-random.js';
import type {ZoneFleet, ZoneProcess} from './zone-fleet.js';

export type ZoneFault =
  | 'restart-leaders'
  | 'suspend-leaders'
  | 'cut-off-leaders'
  | 'restart-instances'
  | 'suspend-instances';

export const ALL_ZONE_FAULTS: readonly ZoneFault[] = [
  'restart-leaders',
  'suspend-leaders',
  'cut-off-leaders',
  'restart-instances',
  'suspend-instances',
];

const FAULTS_FROM_MS = 4000;
const FAULTS_WITHIN_MS = 14_000;
const MIN_FAULT_MS = 500;
const MAX_FAULT_MS = 5000;
const FAULT_COUNT = 6;
const RESTART_DOWN_MS = 600;

export function scheduleZoneFaults<Process extends ZoneProcess>(
  fleet: ZoneFleet<Process>,
  faults: readonly ZoneFault[],
  seed: number,
): void {
  const random = seededRandom(seed + 1);
  const zones = [...fleet.regionByZone.keys()];
  for (const fault of faults) {
    for (let count = 0; count < FAULT_COUNT; count += 1) {
      const atMs = FAULTS_FROM_MS + random() * FAULTS_WITHIN_MS;
      const forMs = MIN_FAULT_MS + random() * (MAX_FAULT_MS - MIN_FAULT_MS);
      const zone = zones[Math.floor(random() * zones.length)]!;
      const index = Math.floor(random() * fleet.instances.length);
      setTimeout(() => {
        const hitsLeader = fault.endsWith('leaders');
        const instance = hitsLeader
          ? fleet.leaderOf(zone)!
          : fleet.instances[index]!;
        if (instance.suspended || instance.cutOff) return;
        if (fault.startsWith('restart')) {
          fleet.restart(instance, RESTART_DOWN_MS);
        } else if (fault.startsWith('suspend')) {
          fleet.suspend(instance, forMs);
        } else {
          fleet.cutOff(instance, forMs);
        }
      }, atMs);
    }
  }
}
