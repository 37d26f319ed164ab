/** Which servers an instance uses, read from any kind of selector. */
import {PooledSelector} from '@fireflytrack/health';
import type {ServerSelector} from '@fireflytrack/health';
import type {FakeServer} from './health-fake-server.js';

export interface RotationServer {
  serverId: string;
  /** `withdrawn`: by a decision on its health, not by its own word. */
  use: 'in-rotation' | 'withdrawn' | 'draining';
  slots: number;
  /** Slots x ramp weight in rotation, else 0. */
  capacitySlots: number;
}

export type RotationSnapshot = RotationServer[];

export function snapshotOf(
  selector: ServerSelector,
  serviceName: string,
  servers: readonly FakeServer[],
): RotationSnapshot {
  if (selector instanceof PooledSelector) {
    return statedRotation(selector, serviceName);
  }
  const usable = usableServers(selector, serviceName);
  return servers.map(({serverId, options: {slots}}) => {
    const isUsed = usable.has(serverId);
    const use = isUsed ? 'in-rotation' : 'withdrawn';
    return {serverId, use, slots, capacitySlots: isUsed ? slots : 0};
  });
}

function statedRotation(
  selector: PooledSelector,
  serviceName: string,
): RotationSnapshot {
  const service = selector.state().find(one => one.serviceName === serviceName);
  return (service?.servers ?? []).map(server => {
    const {serverId, phase, slots, rampWeight} = server;
    const isUsed = phase === 'in-rotation';
    const capacitySlots = isUsed ? slots * rampWeight : 0;
    const use = isUsed || phase === 'draining' ? phase : ('withdrawn' as const);
    return {serverId, use, slots, capacitySlots};
  });
}

/**
 * Selects until no server is left. The selections are not settled, which only
 * the naive selector, that keeps no count of them, may be asked for.
 */
function usableServers(
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
