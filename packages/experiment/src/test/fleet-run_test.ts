/** The measuring harness itself: a wrong harness makes every figure wrong. */
import {expect} from 'earl';
import {describe, it} from 'node:test';
import {DEPLOYMENTS} from '../lib/fleet/deployment.js';
import {FleetRun} from '../lib/fleet/fleet-run.js';
import type {ScenarioScript} from '../lib/fleet/fleet-run.js';
import {NAIVE_FLEET} from '../lib/fleet/fleet-variant.js';
import {PausedClock} from '../lib/fleet/paused-clock.js';
import {TeamMeasures} from '../lib/fleet/team-measures.js';
import {TrafficWatch} from '../lib/fleet/traffic-watch.js';

const SHORT: ScenarioScript = {
  durationMs: 500,
  begin: run => {
    const [name] = run.configuration.services.keys();
    run.breakServer(run.serversOf(name!)[0]!, {errorRatio: 1});
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
      const watch = TrafficWatch.create();
      watch.faultStarted('server');
      await clock.run(300);
      watch.dispatched('server');
      await clock.run(999);
      expect(watch.undetected()).toEqual(1);
      await clock.run(501);
      expect(watch.detectionTimesMs()).toEqual([300]);
      watch.dispatched('server');
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
      const measures = TeamMeasures.create([team]);
      measures.startCounting();
      measures.offered('team').refused();
      for (let left = 5; left > 0; left -= 1) {
        measures.offered('team').admitted();
      }
      const counts = measures.all().get('team')!;
      expect(counts.inRate).toEqual(2);
      expect(counts.refusedInRate).toEqual(1);
      // 5 tokens were spent out of a burst of 2.
      expect(counts.overAdmittedTokens).toEqual(3);
    } finally {
      clock.uninstall();
    }
  });
});
