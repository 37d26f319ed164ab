/** `apply`, `show`, `diff` and `history`: commands for the stored configuration. */
import {createTwoFilesPatch} from 'diff';
import {randomUUID} from 'node:crypto';
import type {Sade} from 'sade';
import {sleep} from '@fireflytrack/time';
import type {AdminClient} from './admin-client.js';
import {
  storedConfigurationSchema,
  describeChangeState,
  historySchema,
  versionStatusSchema,
} from './admin-responses.js';
import type {VersionStatus} from './admin-responses.js';
import {
  createClient,
  createAction,
  toCommandFailure,
  parseNumberOption,
  printResult,
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

const POLL_PERIOD_MS = 250;
const MAX_APPLY_ATTEMPTS = 3;
const RETRY_DELAY_MS = 1000;

export function addConfigCommands(program: Sade): void {
  program
    .command('apply <file>')
    .describe('Store a file as the next version of the configuration.')
    .option(
      '--base',
      'Version that the file is based on; the current if absent',
    )
    .option('--change-id', 'Id of the change; applying it again is safe')
    .option('--wait', 'Seconds to wait until the version is in force')
    .example('apply fleet.ini --base 3 --wait 10')
    .example('apply fleet.ini --change-id 2026-12-04-raise-rates --json')
    .action(createAction(apply));
  program
    .command('show')
    .describe('Print the stored configuration text.')
    .option('--config-version', 'Version to print; the current if absent')
    .example('show > fleet.ini')
    .example('show --config-version 3')
    .action(createAction(show));
  program
    .command('diff <file>')
    .describe('Show what a file would change; exit code 7 if it differs.')
    .option('--config-version', 'Version to compare; the current if absent')
    .example('diff fleet.ini')
    .example('diff fleet.ini --config-version 3')
    .action(createAction(diff));
  program
    .command('history')
    .describe('List the newest versions, newest first.')
    .option('--limit', 'Number of versions, up to 100')
    .example('history --limit 5')
    .action(createAction(history));
}

async function apply(file: string, options: ApplyOptions): Promise<ExitCode> {
  const text = readConfigurationFile(file);
  const waitMs = 1000 * (parseNumberOption('wait', options.wait, 0) ?? 0);
  const client = createClient(options);
  const baseVersion =
    parseNumberOption('base', options.base, 0) ??
    (await fetchStoredConfiguration(client, {})).version;
  const changeId = options['change-id'] ?? randomUUID();
  const change = {text, baseVersion, changeId};
  const accepted = await applyWithRetries(client, change);
  const status = await pollUntilInForce(client, accepted, waitMs);
  const summary = `version ${status.version} accepted (change ${changeId})`;
  printResult(options, status, [summary, ...describeChangeState(status)]);
  const stillPending = waitMs > 0 && status.state === 'pending';
  return stillPending ? EXIT_CODES.pending : EXIT_CODES.done;
}

/** Retries a change with an unknown outcome; its change id makes retries safe. */
async function applyWithRetries(
  client: AdminClient,
  change: {changeId: string},
): Promise<VersionStatus> {
  for (let attempt = 1; ; attempt += 1) {
    const result = await client.call(
      versionStatusSchema,
      'PUT',
      '/v1/config',
      change,
    );
    if (result.ok) return result.val;
    const {status, body} = result.val;
    const outcomeUnknown = status === 0 || body['kind'] === 'outcome-unknown';
    if (!outcomeUnknown || attempt === MAX_APPLY_ATTEMPTS) {
      const failure = toCommandFailure(result.val);
      failure.message += ` (change ${change.changeId})`;
      throw failure;
    }
    await sleep(RETRY_DELAY_MS);
  }
}

/** Polls the status until the version is in force or `waitMs` have passed. */
async function pollUntilInForce(
  client: AdminClient,
  accepted: VersionStatus,
  waitMs: number,
): Promise<VersionStatus> {
  const giveUpAtMs = performance.now() + waitMs;
  const path = `/v1/changes/${encodeURIComponent(accepted.changeId)}`;
  let status = accepted;
  while (status.state === 'pending' && performance.now() < giveUpAtMs) {
    await sleep(POLL_PERIOD_MS);
    const polled = await client.call(versionStatusSchema, 'GET', path);
    if (polled.ok) status = polled.val;
  }
  return status;
}

async function show(options: VersionOptions): Promise<void> {
  const stored = await fetchStoredConfiguration(createClient(options), options);
  printResult(options, stored, [stored.text.replace(/\n$/, '')]);
}

async function diff(file: string, options: VersionOptions): Promise<ExitCode> {
  const text = readConfigurationFile(file);
  const stored = await fetchStoredConfiguration(createClient(options), options);
  const equal = stored.text === text;
  const name = `version ${stored.version}`;
  const patch = equal ? '' : createTwoFilesPatch(name, file, stored.text, text);
  const lines = equal ? [] : [patch.replace(/\n$/, '')];
  printResult(options, {version: stored.version, equal, patch}, lines);
  return equal ? EXIT_CODES.done : EXIT_CODES.differs;
}

async function history(options: HistoryOptions): Promise<void> {
  const limit = parseNumberOption('limit', options.limit, 1) ?? 20;
  const path = `/v1/history?limit=${limit}`;
  const response = await createClient(options).call(historySchema, 'GET', path);
  if (response.err) throw toCommandFailure(response.val);
  const lines = response.val.versions.map(
    ({version, hash, changeId}) =>
      `${version}\t${hash.slice(0, 12)}\t${changeId}`,
  );
  printResult(options, response.val, lines);
}

async function fetchStoredConfiguration(
  client: AdminClient,
  options: Partial<VersionOptions>,
) {
  const name = 'config-version';
  const version = parseNumberOption(name, options[name], 1);
  const query = version === undefined ? '' : `?version=${version}`;
  const stored = await client.call(
    storedConfigurationSchema,
    'GET',
    `/v1/config${query}`,
  );
  if (stored.err) throw toCommandFailure(stored.val);
  return stored.val;
}
