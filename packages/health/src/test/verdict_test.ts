/** Guards the rules that limit ejection to evidence of several reporters. */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {EvidencePool} from '../lib/evidence-pool.js';
import {zeroPeriodCounts} from '../lib/period-counts.js';
import {computeVerdict} from '../lib/verdict.js';

const OPTIONS = {liveInstances: 40, halveThresholds: false, testLatency: true};

function createPool(
  reporters: number,
  counts: Partial<ReturnType<typeof zeroPeriodCounts>>,
  region = 'nord',
  pool = EvidencePool.create(),
): EvidencePool {
  for (let index = 0; index < reporters; index += 1) {
    pool.add(`${region}-${index}`, region, {...zeroPeriodCounts(), ...counts});
  }
  return pool;
}

describe('computeVerdict', () => {
  it('detects faults that several reporters observe', () => {
    const verdict = computeVerdict(
      createPool(6, {successes: 1, faults: 1}),
      OPTIONS,
    );
    expect(verdict?.reason).toEqual('faults');
  });

  it('ignores a single reporter, whatever it claims', () => {
    const pool = createPool(1, {faults: 1000, overdue: 1000}, 'sahel');
    createPool(10, {successes: 1}, 'nord', pool);
    expect(computeVerdict(pool, OPTIONS)).toEqual(undefined);
  });

  it('requires three reporters, or all instances of a smaller fleet', () => {
    const pool = createPool(2, {faults: 10});
    expect(computeVerdict(pool, OPTIONS)).toEqual(undefined);
    const verdict = computeVerdict(pool, {...OPTIONS, liveInstances: 2});
    expect(verdict?.reason).toEqual('faults');
  });

  it('attributes faults that one region does not see to the network path', () => {
    const pool = createPool(6, {faults: 2}, 'nord');
    createPool(6, {successes: 10}, 'sahel', pool);
    expect(computeVerdict(pool, OPTIONS)).toEqual(undefined);
  });

  it('requires eight slow samples besides those of the worst reporter', () => {
    const slow = {latencySamples: 2, slowSamples: 2, verySlowSamples: 2};
    expect(computeVerdict(createPool(4, slow), OPTIONS)).toEqual(undefined);
    expect(computeVerdict(createPool(5, slow), OPTIONS)?.reason).toEqual(
      'latency',
    );
  });

  it('does not test the latency of a cold server', () => {
    const slow = {latencySamples: 2, slowSamples: 2, verySlowSamples: 2};
    const options = {...OPTIONS, testLatency: false};
    expect(computeVerdict(createPool(9, slow), options)).toEqual(undefined);
  });

  it('ignores evidence that was attributed to an overload', () => {
    const pool = createPool(6, {faults: 5});
    pool.ignoreEvidenceSoFar();
    expect(computeVerdict(pool, OPTIONS)).toEqual(undefined);
  });
});
