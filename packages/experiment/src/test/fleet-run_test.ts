/** The measuring harness itself: a wrong harness makes every figure wrong. */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {DEPLOYMENTS} from '../lib/fleet/deployment.js';
import {FleetRun} from '../lib/fleet/fleet-run.js';
import type {ScenarioScript} from '../lib/fleet/fleet-run.js';
import {NAIVE_FLEET} from '../lib/fleet/fleet-variant.js';
import {PausedClock} from '../lib/fleet/paused-clock.js';
import {TeamMeasurements} from '../lib/fleet/team-measures.js';
import {DetectionRecorder} from '../lib/fleet/traffic-watch.js';

const SHORT: ScenarioScript = {
  durationMs: 500,
  start: run => {
    const [name] = run.configuration.services.keys();
    run.injectFault(run.serversOf(name!)[0]!, {errorRatio: 1});
  },
};

describe('FleetRun', () => {
  it('gives the same figures for the same seed', async () => {
    const options = {
      deployment: DEPLOYMENTS.tunisia,
      variant: NAIVE_FLEET,
      seed: 7,
    };
    const first = await FleetRun.run(options, SHORT);
    const second = await FleetRun.run(options, SHORT);
    expect(second).toEqual(first);
    const other = await FleetRun.run({...options, seed: 8}, SHORT);
    expect(other.teams).not.toEqual(first.teams);
  });
});

describe('TrafficWatch', () => {
  it('dates detection at the last request before a silence', async () => {
    const clock = PausedClock.install(1);
    try {
      const watch = DetectionRecorder.create();
      watch.recordFault('server');
      await clock.advance(300);
      watch.recordDispatch('server');
      await clock.advance(999);
      expect(watch.undetected()).toEqual(1);
      await clock.advance(501);
      expect(watch.detectionTimesMs()).toEqual([300]);
      watch.recordDispatch('server');
      expect(watch.dispatchesAfterDetection()).toEqual(1);
    } finally {
      clock.uninstall();
    }
  });
});

describe('TeamMeasures', () => {
  it('tells in-rate refusals and over-admission from the ideal bucket', () => {
    const clock = PausedClock.install(1);
    try {
      const team = {name: 'team', ratePerSecond: 1, burstTokens: 2};
      const measures = TeamMeasurements.create([team]);
      measures.startCounting();
      measures.recordOffered('team').refused();
      for (let left = 5; left > 0; left -= 1) {
        measures.recordOffered('team').admitted();
      }
      const counts = measures.counts().get('team')!;
      expect(counts.inRate).toEqual(2);
      expect(counts.refusedInRate).toEqual(1);
      // 5 tokens were spent out of a burst of 2.
      expect(counts.overAdmittedTokens).toEqual(3);
    } finally {
      clock.uninstall();
    }
  });
});
