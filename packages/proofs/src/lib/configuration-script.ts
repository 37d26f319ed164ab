/** Random scripts of operator changes and faults. */
import fc from 'fast-check';
import {sleep} from '@fireflytrack/time';
import {REGIONS} from './configuration-fleet.js';
import type {ConfigurationFleet, FleetMember} from './configuration-fleet.js';

export type StepKind =
  | 'apply'
  | 'race'
  | 'issue'
  | 'withdraw'
  | 'store-outage'
  | 'lost-answers'
  | 'requests-cut'
  | 'answers-cut'
  | 'late-answers'
  | 'stale-reads'
  | 'region-cut'
  | 'region-cut-one-way'
  | 'region-isolated'
  | 'pause'
  | 'birth'
  | 'restart'
  | 'garbage';

export interface Step {
  kind: StepKind;
  /** Time until the next step starts. */
  waitMs: number;
  /** Duration of a fault. */
  durationMs: number;
  /** Random numbers that choose instances, regions and keys. */
  first: number;
  second: number;
}

export const CHANGE_STEPS: StepKind[] = ['apply', 'race', 'issue', 'withdraw'];
export const FAULT_STEPS: StepKind[] = [
  'store-outage',
  'lost-answers',
  'requests-cut',
  'answers-cut',
  'late-answers',
  'region-cut',
  'region-cut-one-way',
  'region-isolated',
  'region-isolated',
  'pause',
  'birth',
  'restart',
  'garbage',
];

const TEAMS = ['malls', 'offices'];
// Longer than the freshness limit and the lag of the instance list.
const MAX_FAULT_MS = 12_000;
const MAX_WAIT_MS = 1500;
const STATUS_POLL_PERIOD_MS = 300;
const STATUS_POLL_LIMIT_MS = 20_000;

export function createScriptArbitrary(
  kinds: readonly StepKind[],
  maxSteps: number,
): fc.Arbitrary<Step[]> {
  const step = fc.record({
    kind: fc.constantFrom(...kinds),
    waitMs: fc.integer({min: 0, max: MAX_WAIT_MS}),
    durationMs: fc.integer({min: 50, max: MAX_FAULT_MS}),
    first: fc.nat(99),
    second: fc.nat(99),
  });
  return fc.array(step, {
    minLength: maxSteps / 2,
    maxLength: maxSteps,
    size: 'max',
  });
}

/** Runs steps and records in the fleet's history what operators saw. */
export class ScriptRunner {
  private changeCount = 0;

  private constructor(private readonly fleet: ConfigurationFleet) {}

  static create(fleet: ConfigurationFleet): ScriptRunner {
    return new ScriptRunner(fleet);
  }

  /** Applies the first version and issues a key for each team. */
  async prepareFleet(): Promise<void> {
    const [first] = this.fleet.members;
    if (!first) return;
    const accepted = await this.applyChange(first);
    if (accepted) void this.pollUntilInForce(first, accepted);
    for (const index of TEAMS.keys()) await this.issueKey(first, index);
  }

  /** Starts a step without waiting for it; a fault ends after its duration. */
  startStep(step: Step): void {
    const member = this.pickRunningMember(step.first);
    if (!member) return;
    if (step.kind === 'apply') void this.applyAndPoll(member);
    else if (step.kind === 'issue') void this.issueKey(member, step.second);
    else if (step.kind === 'withdraw')
      void this.withdrawKey(member, step.second);
    else if (step.kind === 'race') {
      void this.applyAndPoll(member);
      void this.applyAndPoll(this.pickRunningMember(step.second)!);
    } else void this.injectFault(step, member);
  }

  /** Applies a new configuration and polls its state until it is in force. */
  async applyAndPoll(member: FleetMember): Promise<void> {
    const accepted = await this.applyChange(member);
    if (accepted) await this.pollUntilInForce(member, accepted);
  }

  /** Polls the state of a change until it is in force, for 20 s at most. */
  private async pollUntilInForce(
    member: FleetMember,
    {changeId, version}: {changeId: string; version: number},
  ): Promise<void> {
    const {history, members} = this.fleet;
    for (
      let elapsedMs = 0;
      elapsedMs < STATUS_POLL_LIMIT_MS;
      elapsedMs += STATUS_POLL_PERIOD_MS
    ) {
      await member.gate.waitUntilResumed();
      const status = await member.instance.changes.status(changeId);
      if (!members.includes(member)) return;
      if (status.ok && status.val?.state === 'in_force') {
        const instanceId = member.identity.instanceId;
        history.record(instanceId, 'in-force', changeId, {version});
        return;
      }
      await sleep(STATUS_POLL_PERIOD_MS);
    }
  }

  /** Applies a configuration based on the version in use at the instance. */
  private async applyChange(member: FleetMember) {
    this.changeCount += 1;
    const changeId = `change-${this.changeCount}`;
    const {instance, identity} = member;
    const baseVersion = instance.version();
    const text = renderConfiguration(this.changeCount);
    const change = {text, baseVersion, changeId};
    const applied = await instance.changes.apply(change);
    if (applied.err) return undefined;
    const {version} = applied.val;
    const instanceId = identity.instanceId;
    this.fleet.history.record(instanceId, 'accepted', changeId, {version});
    return {changeId, version};
  }

  async issueKey(member: FleetMember, choice: number): Promise<void> {
    const team = TEAMS[choice % TEAMS.length]!;
    this.changeCount += 1;
    const changeId = `issue-${this.changeCount}`;
    const issued = await member.instance.changes.issueKey(team, changeId);
    if (issued.err) return;
    const {key, keyId} = issued.val;
    this.fleet.keys.push({key, keyId, team});
  }

  async withdrawKey(member: FleetMember, choice: number): Promise<void> {
    const {keys, history} = this.fleet;
    const chosen = keys[choice % Math.max(1, keys.length)];
    if (!chosen) return;
    const {keyId} = chosen;
    const withdrawal = await member.instance.changes.withdrawKey(keyId);
    if (withdrawal.err || !this.fleet.members.includes(member)) return;
    const {stored, confirmed} = withdrawal.val;
    const instanceId = member.identity.instanceId;
    history.record(instanceId, 'withdrawn', keyId, {stored, confirmed});
  }

  private pickRunningMember(choice: number): FleetMember | undefined {
    const running = this.fleet.members.filter(member => !member.gate.paused);
    return running[choice % Math.max(1, running.length)];
  }

  private async injectFault(step: Step, member: FleetMember): Promise<void> {
    const endFault = this.startFault(step, member);
    await sleep(step.durationMs);
    endFault();
  }

  /** Starts the fault and returns the function that ends it. */
  private startFault(step: Step, member: FleetMember): () => void {
    const {fleet} = this;
    const {table, gate} = member;
    switch (step.kind) {
      case 'store-outage':
        fleet.table.unavailable = fleet.objects.unavailable = true;
        return () => {
          fleet.table.unavailable = fleet.objects.unavailable = false;
        };
      case 'lost-answers':
        fleet.table.lostAnswers += 1 + (step.second % 3);
        return () => undefined;
      case 'requests-cut':
        table.requestBlocks.add('instance');
        return () => table.requestBlocks.delete('instance');
      case 'answers-cut':
        table.responseBlocks.add('instance');
        return () => table.responseBlocks.delete('instance');
      case 'late-answers':
        table.responseDelayMs = 20 * step.second;
        return () => (table.responseDelayMs = 0);
      case 'stale-reads':
        table.readAgeMs = step.durationMs;
        return () => (table.readAgeMs = 0);
      case 'pause':
        gate.paused = true;
        return () => this.resumeMember(member);
      case 'birth':
        fleet.startInNewSlot(step.second);
        return () => undefined;
      case 'restart':
        fleet.endInstance(member);
        fleet.startInstance(member.slot).table.readAgeMs = table.readAgeMs;
        return () => undefined;
      case 'garbage':
        this.sendInvalidMessages(member, step);
        return () => undefined;
      default:
        return this.startRegionPartition(step);
    }
  }

  /** Resumes an instance; callers that wait at it are served first. */
  private resumeMember(member: FleetMember): void {
    member.gate.paused = false;
    if (this.fleet.members.includes(member)) this.fleet.probeMember(member);
    member.gate.resume();
  }

  private startRegionPartition(step: Step): () => void {
    const {fleet} = this;
    const from = REGIONS[step.first % REGIONS.length]!;
    const others = REGIONS.filter(region => region !== from);
    const partitioned =
      step.kind === 'region-isolated'
        ? others
        : [others[step.second % others.length]!];
    const oneWay = step.kind === 'region-cut-one-way';
    for (const to of partitioned) {
      fleet.blockRegionLink(from, to);
      if (!oneWay) fleet.blockRegionLink(to, from);
    }
    return () => {
      for (const to of partitioned) {
        fleet.unblockRegionLink(from, to);
        if (!oneWay) fleet.unblockRegionLink(to, from);
      }
    };
  }

  /** Sends malformed and outdated messages from an unlisted peer. */
  private sendInvalidMessages(member: FleetMember, step: Step): void {
    const {network} = this.fleet;
    const identity = {...member.identity, instanceId: `stray-${step.second}`};
    const strayNetwork = network.join(identity);
    const outdated = {
      configurationVersion: step.second,
      keySetVersion: 0,
      withdrawnDigest: 'x',
      sentAtMs: 1,
      readsFailing: false,
    };
    for (const payload of [
      outdated,
      {},
      null,
      'text',
      {...outdated, ageMs: 'x'},
    ]) {
      strayNetwork.broadcast('config/versions', payload);
      strayNetwork.broadcast('config/withdrawn', payload);
    }
    setTimeout(() => network.leave(identity.instanceId), 100);
  }
}

export function renderConfiguration(change: number): string {
  const teams = TEAMS.map(
    team => `[team.${team}]\nrate_per_second = 10\nburst_tokens = 10\n`,
  );
  return `[fleet]
schema_version = 1
name = c${change}
max_instances = 40

${teams.join('\n')}`;
}
