/**
 * Guards the capacity floor when servers are ejected and when servers drain.
 */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {Rotation} from '../lib/rotation.js';
import {ServerHealth} from '../lib/server-health.js';

const SLOTS = 4;

function createRotation(count: number, capacityFloor: number) {
  const servers = Array.from({length: count}, (_, index) => {
    const serverId = `10.0.0.${index}:80`;
    const location = {
      host: `10.0.0.${index}`,
      port: 80,
      availabilityZone: 'n-1',
    };
    return ServerHealth.create({serverId, ...location}, SLOTS);
  });
  const rotation = Rotation.create({
    serviceName: 'counting',
    capacityFloor,
    servers,
    onTransition: () => {},
  });
  return {rotation, servers};
}

describe('Rotation', () => {
  it('keeps a faulty server when its ejection would go below the floor', () => {
    const {rotation, servers} = createRotation(4, 0.5);
    const ejected = servers.map(server => rotation.eject(server, 1, 'faults'));
    expect(ejected).toEqual([true, true, false, false]);
  });

  it('counts a ramping server with its weight', () => {
    const {rotation, servers} = createRotation(4, 0.6);
    rotation.eject(servers[0]!, 1, 'faults');
    rotation.readmit(servers[0]!, 'readmitted');
    expect(rotation.eject(servers[1]!, 1, 'faults')).toEqual(false);
  });

  it('returns the least severe server at full weight when others drain', () => {
    const {rotation, servers} = createRotation(4, 0.5);
    rotation.eject(servers[0]!, 3, 'faults');
    rotation.eject(servers[1]!, 2, 'faults');
    rotation.drain(servers[2]!);
    const phases = servers.map(server => server.phase);
    expect(phases).toEqual([
      'ejected',
      'in-rotation',
      'draining',
      'in-rotation',
    ]);
    expect(rotation.capacitySlots()).toEqual(2 * SLOTS);
  });

  it('holds out servers reported as draining only above the floor', () => {
    const {rotation, servers} = createRotation(4, 0.5);
    const heldOut = servers.map(server => rotation.holdOut(server));
    expect(heldOut).toEqual([true, true, false, false]);
  });
});
