/** Reads from any kind of selector which servers an instance uses. */
import {PooledSelector} from '@fireflytrack/health';
import type {ServerSelector} from '@fireflytrack/health';
import type {FakeServer} from './health-fake-server.js';

export interface RotationServer {
  serverId: string;
  /** `withdrawn`: out of rotation because of its health, not by its own request. */
  status: 'in-rotation' | 'withdrawn' | 'draining';
  slots: number;
  /** Slots x ramp weight if in rotation, else 0. */
  capacitySlots: number;
}

export type RotationSnapshot = RotationServer[];

export function takeRotationSnapshot(
  selector: ServerSelector,
  serviceName: string,
  servers: readonly FakeServer[],
): RotationSnapshot {
  if (selector instanceof PooledSelector) {
    return rotationFromState(selector, serviceName);
  }
  const usable = findUsableServers(selector, serviceName);
  return servers.map(({serverId, options: {slots}}) => {
    const isUsed = usable.has(serverId);
    const status = isUsed ? 'in-rotation' : 'withdrawn';
    return {serverId, status, slots, capacitySlots: isUsed ? slots : 0};
  });
}

function rotationFromState(
  selector: PooledSelector,
  serviceName: string,
): RotationSnapshot {
  const service = selector
    .state()
    .find(entry => entry.serviceName === serviceName);
  return (service?.servers ?? []).map(server => {
    const {serverId, phase, slots, rampWeight} = server;
    const isUsed = phase === 'in-rotation';
    const capacitySlots = isUsed ? slots * rampWeight : 0;
    const status =
      isUsed || phase === 'draining' ? phase : ('withdrawn' as const);
    return {serverId, status, slots, capacitySlots};
  });
}

/**
 * Selects until no server is left. The selections are never settled, therefore
 * this works only with the naive selector, which doesn't count open selections.
 */
function findUsableServers(
  selector: ServerSelector,
  serviceName: string,
): Set<string> {
  const excluded = new Set<string>();
  for (;;) {
    const selected = selector.select(serviceName, {excluded});
    if (selected.err) return excluded;
    excluded.add(selected.val.server.serverId);
  }
}
