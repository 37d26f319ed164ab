/** Random scripts of operators' changes and faults for the fleet. */
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
  /** Time to the next step. */
  waitMs: number;
  /** How long a fault lasts. */
  durationMs: number;
  /** Choose instances, regions and keys. */
  first: number;
  second: number;
}

export const CHANGES: StepKind[] = ['apply', 'race', 'issue', 'withdraw'];
export const FAULTS: StepKind[] = [
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
// Long enough for the freshness limit and the list's lag to pass.
const MAX_FAULT_MS = 12_000;
const MAX_WAIT_MS = 1500;
const FOLLOW_PERIOD_MS = 300;
const FOLLOW_MS = 20_000;

export function scriptOf(
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

/** Carries out steps; the fleet's history holds what operators saw. */
export class ScriptRunner {
  private changes = 0;

  private constructor(private readonly fleet: ConfigurationFleet) {}

  static create(fleet: ConfigurationFleet): ScriptRunner {
    return new ScriptRunner(fleet);
  }

  /** Applies the first version and issues a key for each team. */
  async begin(): Promise<void> {
    const [first] = this.fleet.members;
    if (!first) return;
    const made = await this.applyOnce(first);
    if (made) void this.follow(first, made);
    for (const index of TEAMS.keys()) await this.issue(first, index);
  }

  /** Starts a step; faults end by themselves after their duration. */
  run(step: Step): void {
    const member = this.pick(step.first);
    if (!member) return;
    if (step.kind === 'apply') void this.apply(member);
    else if (step.kind === 'issue') void this.issue(member, step.second);
    else if (step.kind === 'withdraw') void this.withdraw(member, step.second);
    else if (step.kind === 'race') {
      void this.apply(member);
      void this.apply(this.pick(step.second)!);
    } else void this.fault(step, member);
  }

  /** Applies a new text and follows it until it is in force. */
  async apply(member: FleetMember): Promise<void> {
    const made = await this.applyOnce(member);
    if (made) await this.follow(member, made);
  }

  /** Asks for the state of a change until it is in force. */
  private async follow(
    member: FleetMember,
    {changeId, version}: {changeId: string; version: number},
  ): Promise<void> {
    const {history, members} = this.fleet;
    for (let passedMs = 0; passedMs < FOLLOW_MS; passedMs += FOLLOW_PERIOD_MS) {
      await member.gate.passed();
      const status = await member.instance.changes.status(changeId);
      if (!members.includes(member)) return;
      if (status.ok && status.val?.state === 'in_force') {
        const via = member.identity.instanceId;
        history.record(via, 'in-force', changeId, {version});
        return;
      }
      await sleep(FOLLOW_PERIOD_MS);
    }
  }

  /** Applies a text based on the version in use at the instance. */
  private async applyOnce(member: FleetMember) {
    this.changes += 1;
    const changeId = `change-${this.changes}`;
    const {instance, identity} = member;
    const baseVersion = instance.version();
    const text = textOf(this.changes);
    const change = {text, baseVersion, changeId};
    const applied = await instance.changes.apply(change);
    if (applied.err) return undefined;
    const {version} = applied.val;
    const via = identity.instanceId;
    this.fleet.history.record(via, 'accepted', changeId, {version});
    return {changeId, version};
  }

  async issue(member: FleetMember, choice: number): Promise<void> {
    const team = TEAMS[choice % TEAMS.length]!;
    this.changes += 1;
    const changeId = `issue-${this.changes}`;
    const issued = await member.instance.changes.issueKey(team, changeId);
    if (issued.err) return;
    const {key, keyId} = issued.val;
    this.fleet.keys.push({key, keyId, team});
  }

  async withdraw(member: FleetMember, choice: number): Promise<void> {
    const {keys, history} = this.fleet;
    const chosen = keys[choice % Math.max(1, keys.length)];
    if (!chosen) return;
    const {keyId} = chosen;
    const done = await member.instance.changes.withdrawKey(keyId);
    if (done.err || !this.fleet.members.includes(member)) return;
    const {stored, confirmed} = done.val;
    const via = member.identity.instanceId;
    history.record(via, 'withdrawn', keyId, {stored, confirmed});
  }

  private pick(choice: number): FleetMember | undefined {
    const running = this.fleet.members.filter(member => !member.gate.paused);
    return running[choice % Math.max(1, running.length)];
  }

  private async fault(step: Step, member: FleetMember): Promise<void> {
    const heal = this.beginFault(step, member);
    await sleep(step.durationMs);
    heal();
  }

  private beginFault(step: Step, member: FleetMember): () => void {
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
        table.requestCuts.add('instance');
        return () => table.requestCuts.delete('instance');
      case 'answers-cut':
        table.answerCuts.add('instance');
        return () => table.answerCuts.delete('instance');
      case 'late-answers':
        table.answerDelayMs = 20 * step.second;
        return () => (table.answerDelayMs = 0);
      case 'stale-reads':
        table.staleMs = step.durationMs;
        return () => (table.staleMs = 0);
      case 'pause':
        gate.paused = true;
        return () => this.resume(member);
      case 'birth':
        fleet.addNew(step.second);
        return () => undefined;
      case 'restart':
        fleet.end(member);
        fleet.add(member.slot).table.staleMs = table.staleMs;
        return () => undefined;
      case 'garbage':
        this.sendGarbage(member, step);
        return () => undefined;
      default:
        return this.beginRegionCut(step);
    }
  }

  /** Callers that wait at a paused instance are served first. */
  private resume(member: FleetMember): void {
    member.gate.paused = false;
    if (this.fleet.members.includes(member)) this.fleet.probeMember(member);
    member.gate.resume();
  }

  private beginRegionCut(step: Step): () => void {
    const {fleet} = this;
    const from = REGIONS[step.first % REGIONS.length]!;
    const others = REGIONS.filter(region => region !== from);
    const cutOff =
      step.kind === 'region-isolated'
        ? others
        : [others[step.second % others.length]!];
    const oneWay = step.kind === 'region-cut-one-way';
    for (const to of cutOff) {
      fleet.cutRegion(from, to);
      if (!oneWay) fleet.cutRegion(to, from);
    }
    return () => {
      for (const to of cutOff) {
        fleet.healRegion(from, to);
        if (!oneWay) fleet.healRegion(to, from);
      }
    };
  }

  /** Malformed and old messages in the name of a running instance. */
  private sendGarbage(member: FleetMember, step: Step): void {
    const {network} = this.fleet;
    const identity = {...member.identity, instanceId: `stray-${step.second}`};
    const stray = network.join(identity);
    const old = {
      configurationVersion: step.second,
      keySetVersion: 0,
      withdrawnDigest: 'x',
      sentAtMs: 1,
      readsFailing: false,
    };
    for (const payload of [old, {}, null, 'text', {...old, ageMs: 'x'}]) {
      stray.broadcast('config/versions', payload);
      stray.broadcast('config/withdrawn', payload);
    }
    setTimeout(() => network.leave(identity.instanceId), 100);
  }
}

export function textOf(change: number): string {
  const teams = TEAMS.map(
    team => `[team.${team}]\nrate_per_second = 10\nburst_tokens = 10\n`,
  );
  return `[fleet]
schema_version = 1
name = c${change}
max_instances = 40

${teams.join('\n')}`;
}
