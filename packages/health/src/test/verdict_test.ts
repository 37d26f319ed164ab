/** Guards the rules that limit ejection to evidence of several reporters. */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {EvidencePool} from '../lib/evidence-pool.js';
import {zeroPeriodCounts} from '../lib/period-counts.js';
import {computeVerdict} from '../lib/verdict.js';

const OPTIONS = {liveInstances: 40, halved: false, judgesLatency: true};

function poolOf(
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

describe('judge', () => {
  it('finds faults that several reporters see', () => {
    const verdict = computeVerdict(
      poolOf(6, {successes: 1, faults: 1}),
      OPTIONS,
    );
    expect(verdict?.reason).toEqual('faults');
  });

  it('does not follow one reporter, whatever it claims', () => {
    const pool = poolOf(1, {faults: 1000, overdue: 1000}, 'sahel');
    poolOf(10, {successes: 1}, 'nord', pool);
    expect(computeVerdict(pool, OPTIONS)).toEqual(undefined);
  });

  it('needs three reporters, but not of a fleet that has fewer', () => {
    const pool = poolOf(2, {faults: 10});
    expect(computeVerdict(pool, OPTIONS)).toEqual(undefined);
    const verdict = computeVerdict(pool, {...OPTIONS, liveInstances: 2});
    expect(verdict?.reason).toEqual('faults');
  });

  it('takes faults that another region denies for faults of the path', () => {
    const pool = poolOf(6, {faults: 2}, 'nord');
    poolOf(6, {successes: 10}, 'sahel', pool);
    expect(computeVerdict(pool, OPTIONS)).toEqual(undefined);
  });

  it('needs eight slow samples without the most damaging reporter', () => {
    const slow = {latencySamples: 2, slowSamples: 2, verySlowSamples: 2};
    expect(computeVerdict(poolOf(4, slow), OPTIONS)).toEqual(undefined);
    expect(computeVerdict(poolOf(5, slow), OPTIONS)?.reason).toEqual('latency');
  });

  it('does not judge the latency of a cold server', () => {
    const slow = {latencySamples: 2, slowSamples: 2, verySlowSamples: 2};
    const options = {...OPTIONS, judgesLatency: false};
    expect(computeVerdict(poolOf(9, slow), options)).toEqual(undefined);
  });

  it('drops evidence that was excused as overload', () => {
    const pool = poolOf(6, {faults: 5});
    pool.ignoreEvidenceSoFar();
    expect(computeVerdict(pool, OPTIONS)).toEqual(undefined);
  });
});
