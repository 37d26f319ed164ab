/**
 * Guards against a fleet that exceeds the connections or the limit of a server
 * since its instances take themselves for fewer than they are.
 */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {InstanceEstimate} from '../lib/instance-estimate.js';

const ASSUMED = 150;

describe('estimate of the instances', () => {
  let count: number | undefined;
  const create = () => InstanceEstimate.create(ASSUMED, () => count);

  it('is what the settings assume until the fleet was counted', () => {
    count = undefined;
    expect(create().read()).toEqual(ASSUMED);
  });

  it('leaves room for instances that are not counted yet', () => {
    const estimate = create();
    for (count of [1, 36, 292]) {
      expect(estimate.read() > count * 1.1).toEqual(true);
    }
  });

  it('does not fall when a large fleet loses its leader', () => {
    const estimate = create();
    count = 292;
    const before = estimate.read();
    count = undefined;
    expect(estimate.read()).toEqual(before);
  });

  it('is what the settings assume when a small fleet loses its leader', () => {
    const estimate = create();
    count = 36;
    estimate.read();
    count = undefined;
    expect(estimate.read()).toEqual(ASSUMED);
  });
});
