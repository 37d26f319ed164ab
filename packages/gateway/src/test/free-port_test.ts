/** Guards against two servers of a test that are given the same port. */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {freePort} from '../testing/free-port.js';

describe('free port', () => {
  it('is a different one each time', async () => {
    const ports = new Set<number>();
    for (let i = 0; i < 200; i++) ports.add(await freePort());
    expect(ports.size).toEqual(200);
  });
});
