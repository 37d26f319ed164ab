/** `apply`, `show`, `diff` and `history`: the stored configuration. */
import {createTwoFilesPatch} from 'diff';
import {randomUUID} from 'node:crypto';
import type {Sade} from 'sade';
import {sleep} from '@fireflytrack/time';
import type {AdminClient} from './admin-client.js';
import {
  configSchema,
  describeState,
  historySchema,
  versionStatusSchema,
} from './answers.js';
import type {VersionStatusAnswer} from './answers.js';
import {
  clientOf,
  command,
  failureOf,
  numberOption,
  print,
} from './command-line.js';
import type {CommonOptions} from './command-line.js';
import {EXIT_CODES} from './exit-codes.js';
import type {ExitCode} from './exit-codes.js';
import {readConfigurationFile} from './text-file.js';

interface ApplyOptions extends CommonOptions {
  base?: string;
  'change-id'?: string;
  wait?: string;
}

interface VersionOptions extends CommonOptions {
  'config-version'?: string;
}

interface HistoryOptions extends CommonOptions {
  limit?: string;
}

const FOLLOW_PERIOD_MS = 250;
const ATTEMPTS = 3;
const REPEAT_AFTER_MS = 1000;

export function addConfigCommands(program: Sade): void {
  program
    .command('apply <file>')
    .describe('Make a file the next version of the configuration.')
    .option('--base', 'Version the file was made from; the current if absent')
    .option('--change-id', 'Id of the change; repeating it is safe')
    .option('--wait', 'Seconds to wait until the version is in force')
    .example('apply fleet.ini --base 3 --wait 10')
    .example('apply fleet.ini --change-id 2026-12-04-raise-rates --json')
    .action(command(apply));
  program
    .command('show')
    .describe('Print the stored configuration text.')
    .option('--config-version', 'Version to print; the current if absent')
    .example('show > fleet.ini')
    .example('show --config-version 3')
    .action(command(show));
  program
    .command('diff <file>')
    .describe('Show what a file would change; exit code 7 on differences.')
    .option('--config-version', 'Version to compare; the current if absent')
    .example('diff fleet.ini')
    .example('diff fleet.ini --config-version 3')
    .action(command(diff));
  program
    .command('history')
    .describe('List the newest versions, newest first.')
    .option('--limit', 'Number of versions, up to 100')
    .example('history --limit 5')
    .action(command(history));
}

async function apply(file: string, options: ApplyOptions): Promise<ExitCode> {
  const text = readConfigurationFile(file);
  const waitMs = 1000 * (numberOption('wait', options.wait, 0) ?? 0);
  const client = clientOf(options);
  const baseVersion =
    numberOption('base', options.base, 0) ??
    (await storedConfig(client, {})).version;
  const changeId = options['change-id'] ?? randomUUID();
  const change = {text, baseVersion, changeId};
  const made = await applyUntilAnswered(client, change);
  const status = await follow(client, made, waitMs);
  const head = `version ${status.version} accepted (change ${changeId})`;
  print(options, status, [head, ...describeState(status)]);
  const waited = waitMs > 0 && status.state === 'pending';
  return waited ? EXIT_CODES.pending : EXIT_CODES.done;
}

/** Repeats a change whose answer was lost; its id makes that safe. */
async function applyUntilAnswered(
  client: AdminClient,
  change: {changeId: string},
): Promise<VersionStatusAnswer> {
  for (let attempt = 1; ; attempt += 1) {
    const made = await client.call(
      versionStatusSchema,
      'PUT',
      '/v1/config',
      change,
    );
    if (made.ok) return made.val;
    const {status, body} = made.val;
    const lost = status === 0 || body['kind'] === 'outcome-unknown';
    if (!lost || attempt === ATTEMPTS) {
      const failure = failureOf(made.val);
      failure.message += ` (change ${change.changeId})`;
      throw failure;
    }
    await sleep(REPEAT_AFTER_MS);
  }
}

async function follow(
  client: AdminClient,
  made: VersionStatusAnswer,
  waitMs: number,
): Promise<VersionStatusAnswer> {
  const untilMs = performance.now() + waitMs;
  const path = `/v1/changes/${encodeURIComponent(made.changeId)}`;
  let status = made;
  while (status.state === 'pending' && performance.now() < untilMs) {
    await sleep(FOLLOW_PERIOD_MS);
    const asked = await client.call(versionStatusSchema, 'GET', path);
    if (asked.ok) status = asked.val;
  }
  return status;
}

async function show(options: VersionOptions): Promise<void> {
  const stored = await storedConfig(clientOf(options), options);
  print(options, stored, [stored.text.replace(/\n$/, '')]);
}

async function diff(file: string, options: VersionOptions): Promise<ExitCode> {
  const text = readConfigurationFile(file);
  const stored = await storedConfig(clientOf(options), options);
  const equal = stored.text === text;
  const name = `version ${stored.version}`;
  const patch = equal ? '' : createTwoFilesPatch(name, file, stored.text, text);
  const lines = equal ? [] : [patch.replace(/\n$/, '')];
  print(options, {version: stored.version, equal, patch}, lines);
  return equal ? EXIT_CODES.done : EXIT_CODES.differs;
}

async function history(options: HistoryOptions): Promise<void> {
  const limit = numberOption('limit', options.limit, 1) ?? 20;
  const path = `/v1/history?limit=${limit}`;
  const found = await clientOf(options).call(historySchema, 'GET', path);
  if (found.err) throw failureOf(found.val);
  const lines = found.val.versions.map(
    ({version, hash, changeId}) =>
      `${version}\t${hash.slice(0, 12)}\t${changeId}`,
  );
  print(options, found.val, lines);
}

async function storedConfig(
  client: AdminClient,
  options: Partial<VersionOptions>,
) {
  const name = 'config-version';
  const version = numberOption(name, options[name], 1);
  const query = version === undefined ? '' : `?version=${version}`;
  const stored = await client.call(configSchema, 'GET', `/v1/config${query}`);
  if (stored.err) throw failureOf(stored.val);
  return stored.val;
}
