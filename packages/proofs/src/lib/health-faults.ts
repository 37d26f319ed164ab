/** Random schedules of faults for the health properties. */
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

/** One fault; the numbers choose servers and instances modulo their count. */
export interface ScheduledFault {
  atMs: number;
  kind: FaultKind;
  /** First server that is hit. */
  server: number;
  /** How many servers after it are hit together. */
  servers: number;
  instance: number;
  durationMs: number;
}

const KINDS: readonly FaultKind[] = [
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

/** Faults at any moment of `withinMs`, alone, together and repeated. */
export function faultSchedule(
  withinMs: number,
  kinds: readonly FaultKind[] = KINDS,
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

/** Sets the timers of all faults, counted from now. */
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
    instance.pausable.pause(Math.min(fault.durationMs, 1000));
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
  for (const serverId of serversOf(fleet, fault)) {
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
  if (kind === 'cut') fleet.setPathCut(instanceId, serverId, true);
  if (kind === 'cold') fleet.servers.get(serverId)?.beginColdStart(durationMs);
}

function endFault(fleet: HealthFleet, fault: ScheduledFault): void {
  const {kind} = fault;
  const instance = fleet.instances[fault.instance % fleet.instances.length]!;
  if (kind === 'slow-link') fleet.setLinkDelay('nord', 'sahel', 0);
  for (const serverId of serversOf(fleet, fault)) {
    if (kind === 'slow') fleet.setFaults(serverId, {slowFactor: 1});
    if (kind === 'wrong') fleet.setFaults(serverId, {wrongShare: 0});
    if (kind === 'errors') fleet.setFaults(serverId, {errorShare: 0});
    if (kind === 'shed') fleet.setFaults(serverId, {shedShare: 0});
    if (kind === 'drain') fleet.setFaults(serverId, {draining: false});
    if (kind !== 'cut') continue;
    fleet.setPathCut(instance.instanceId, serverId, false);
  }
}

/** Servers that the fault hits, of those that it can name at any time. */
function serversOf(fleet: HealthFleet, fault: ScheduledFault): string[] {
  const ids = fleet.serverIds().slice(0, fleet.options.servers);
  return Array.from(
    {length: fault.servers},
    (_, index) => ids[(fault.server + index) % ids.length]!,
  );
}
