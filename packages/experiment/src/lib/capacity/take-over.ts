/**
 * Computes the largest load that one instance takes over when another one
 * fails, with rendezvous hashing and with the shifted arrangement of section 7
 * of the design page.
 */
import {rankByRendezvous} from '@fireflytrack/membership';

export interface TakeOverLoad {
  instances: number;
  units: number;
  arrangement: 'rendezvous' | 'shifted';
  /** Most units that one survivor takes over, over all single failures. */
  largestTakeOver: number;
  /** The same if a failed instance's units were spread evenly, rounded up. */
  evenTakeOver: number;
  /** Most units that one instance holds before a failure. */
  largestLoad: number;
}

interface Placement {
  holder: number;
  successor: number;
}

// Services x regions today and at the planned size; each combination has one
// choice of the probing instance.
const UNIT_COUNTS = [12, 7200];

export function measureTakeOver(instances: number): TakeOverLoad[] {
  return UNIT_COUNTS.flatMap(units => [
    computeLoads('rendezvous', instances, placeByRendezvous(instances, units)),
    computeLoads('shifted', instances, placeShifted(instances, units)),
  ]);
}

function placeByRendezvous(instances: number, units: number): Placement[] {
  const ids = Array.from({length: instances}, (_, index) => `i${index}`);
  return Array.from({length: units}, (_, unit) => {
    const [holder, successor] = rankByRendezvous(`unit/${unit}`, ids);
    return {holder: ids.indexOf(holder!), successor: ids.indexOf(successor!)};
  });
}

/** Shifts the successors of round `r` by 1 + r, skipping the holder itself. */
function placeShifted(instances: number, units: number): Placement[] {
  return Array.from({length: units}, (_, unit) => {
    const holder = unit % instances;
    const round = Math.floor(unit / instances);
    const shift = 1 + (round % (instances - 1));
    return {holder, successor: (holder + shift) % instances};
  });
}

function computeLoads(
  arrangement: TakeOverLoad['arrangement'],
  instances: number,
  placements: readonly Placement[],
): TakeOverLoad {
  const heldUnits = new Map<number, number>();
  const takenOverUnits = new Map<string, number>();
  for (const {holder, successor} of placements) {
    heldUnits.set(holder, (heldUnits.get(holder) ?? 0) + 1);
    const pair = `${holder}>${successor}`;
    takenOverUnits.set(pair, (takenOverUnits.get(pair) ?? 0) + 1);
  }
  const largestLoad = Math.max(...heldUnits.values());
  return {
    instances,
    units: placements.length,
    arrangement,
    largestTakeOver: Math.max(...takenOverUnits.values()),
    evenTakeOver: Math.ceil(placements.length / instances / (instances - 1)),
    largestLoad,
  };
}
