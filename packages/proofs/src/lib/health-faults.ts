/** Random fault schedules for the health properties. */
import fc from 'fast-check';
import type {HealthFleet} from './health-fleet.js';

export type FaultKind =
  | 'slow'
  | 'wrong'
  | 'errors'
  | 'shed'
  | 'drain'
  | 'cut'
  | 'pause'
  | 'slow-link'
  | 'cold'
  | 'new-server';

/** One fault; server and instance are indexes modulo the fleet's size. */
export interface ScheduledFault {
  atMs: number;
  kind: FaultKind;
  /** Index of the first affected server. */
  server: number;
  /** Number of affected servers, consecutive from `server`. */
  servers: number;
  instance: number;
  durationMs: number;
}

const ALL_KINDS: readonly FaultKind[] = [
  'slow',
  'wrong',
  'errors',
  'shed',
  'drain',
  'cut',
  'pause',
  'slow-link',
  'cold',
  'new-server',
];

/** Generates 1 to 8 faults within `withinMs`; they may overlap and recur. */
export function faultScheduleArbitrary(
  withinMs: number,
  kinds: readonly FaultKind[] = ALL_KINDS,
): fc.Arbitrary<ScheduledFault[]> {
  const fault = fc.record({
    atMs: fc.integer({min: 0, max: withinMs}),
    kind: fc.constantFrom(...kinds),
    server: fc.nat({max: 11}),
    servers: fc.integer({min: 1, max: 8}),
    instance: fc.nat({max: 39}),
    durationMs: fc.integer({min: 100, max: withinMs}),
  });
  return fc.array(fault, {minLength: 1, maxLength: 8, size: 'max'});
}

/** Schedules the start and end of all faults, relative to now. */
export function scheduleFaults(
  fleet: HealthFleet,
  faults: readonly ScheduledFault[],
): void {
  for (const fault of faults) {
    setTimeout(() => beginFault(fleet, fault), fault.atMs);
    setTimeout(() => endFault(fleet, fault), fault.atMs + fault.durationMs);
  }
}

function beginFault(fleet: HealthFleet, fault: ScheduledFault): void {
  const instance = fleet.instances[fault.instance % fleet.instances.length]!;
  if (fault.kind === 'pause') {
    instance.scheduler.pause(Math.min(fault.durationMs, 1000));
    return;
  }
  if (fault.kind === 'slow-link') {
    fleet.setLinkDelay('nord', 'sahel', 80);
    return;
  }
  if (fault.kind === 'new-server') {
    fleet.addServer(fault.durationMs);
    return;
  }
  for (const serverId of findAffectedServers(fleet, fault)) {
    beginServerFault(fleet, fault, serverId, instance.instanceId);
  }
}

function beginServerFault(
  fleet: HealthFleet,
  {kind, durationMs}: ScheduledFault,
  serverId: string,
  instanceId: string,
): void {
  if (kind === 'slow') fleet.setFaults(serverId, {slowFactor: 10});
  if (kind === 'wrong') fleet.setFaults(serverId, {wrongShare: 0.3});
  if (kind === 'errors') fleet.setFaults(serverId, {errorShare: 1});
  if (kind === 'shed') fleet.setFaults(serverId, {shedShare: 0.5});
  if (kind === 'drain') fleet.setFaults(serverId, {draining: true});
  if (kind === 'cut') fleet.setPathBlocked(instanceId, serverId, true);
  if (kind === 'cold') fleet.servers.get(serverId)?.beginColdStart(durationMs);
}

function endFault(fleet: HealthFleet, fault: ScheduledFault): void {
  const {kind} = fault;
  const instance = fleet.instances[fault.instance % fleet.instances.length]!;
  if (kind === 'slow-link') fleet.setLinkDelay('nord', 'sahel', 0);
  for (const serverId of findAffectedServers(fleet, fault)) {
    if (kind === 'slow') fleet.setFaults(serverId, {slowFactor: 1});
    if (kind === 'wrong') fleet.setFaults(serverId, {wrongShare: 0});
    if (kind === 'errors') fleet.setFaults(serverId, {errorShare: 0});
    if (kind === 'shed') fleet.setFaults(serverId, {shedShare: 0});
    if (kind === 'drain') fleet.setFaults(serverId, {draining: false});
    if (kind !== 'cut') continue;
    fleet.setPathBlocked(instance.instanceId, serverId, false);
  }
}

/** Chooses among the initial servers only, so that added ones change nothing. */
function findAffectedServers(
  fleet: HealthFleet,
  fault: ScheduledFault,
): string[] {
  const ids = fleet.serverIds().slice(0, fleet.options.servers);
  return Array.from(
    {length: fault.servers},
    (_, index) => ids[(fault.server + index) % ids.length]!,
  );
}
