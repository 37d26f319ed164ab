/** Tests of the measurement harness, on which every reported figure depends. */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {DEPLOYMENTS} from '../lib/fleet/deployment.js';
import {FleetRun} from '../lib/fleet/fleet-run.js';
import type {ScenarioScript} from '../lib/fleet/fleet-run.js';
import {NAIVE_FLEET} from '../lib/fleet/fleet-variant.js';
import {PausedClock} from '../lib/fleet/paused-clock.js';
import {TeamMeasurements} from '../lib/fleet/team-measurements.js';
import {DetectionRecorder} from '../lib/fleet/detection-recorder.js';

const SHORT: ScenarioScript = {
  durationMs: 500,
  start: run => {
    const [name] = run.configuration.services.keys();
    run.injectFault(run.serversOf(name!)[0]!, {errorRatio: 1});
  },
};

describe('FleetRun', () => {
  it('produces the same figures for the same seed', async () => {
    const options = {
      deployment: DEPLOYMENTS.tunisia,
      variant: NAIVE_FLEET,
      seed: 7,
    };
    const first = await FleetRun.run(options, SHORT);
    const second = await FleetRun.run(options, SHORT);
    expect(second).toEqual(first);
    const otherSeed = await FleetRun.run({...options, seed: 8}, SHORT);
    expect(otherSeed.teams).not.toEqual(first.teams);
  });
});

describe('DetectionRecorder', () => {
  it('sets the detection time to the last dispatch before a silence', async () => {
    const clock = PausedClock.install(1);
    try {
      const recorder = DetectionRecorder.create();
      recorder.recordFault('server');
      await clock.advance(300);
      recorder.recordDispatch('server');
      await clock.advance(999);
      expect(recorder.undetectedCount()).toEqual(1);
      await clock.advance(501);
      expect(recorder.detectionTimesMs()).toEqual([300]);
      recorder.recordDispatch('server');
      expect(recorder.dispatchesAfterDetection()).toEqual(1);
    } finally {
      clock.uninstall();
    }
  });
});

describe('TeamMeasurements', () => {
  it('counts in-rate refusals and over-admitted tokens', () => {
    const clock = PausedClock.install(1);
    try {
      const team = {name: 'team', ratePerSecond: 1, burstTokens: 2};
      const measurements = TeamMeasurements.create([team]);
      measurements.startCounting();
      measurements.recordOffered('team').recordRefused();
      for (let remaining = 5; remaining > 0; remaining -= 1) {
        measurements.recordOffered('team').recordAdmitted();
      }
      const counts = measurements.counts().get('team')!;
      expect(counts.inRate).toEqual(2);
      expect(counts.refusedInRate).toEqual(1);
      // 5 tokens were taken from a burst of 2.
      expect(counts.overAdmittedTokens).toEqual(3);
    } finally {
      clock.uninstall();
    }
  });
});
