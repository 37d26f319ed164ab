/** `keys issue`, `keys withdraw` and `keys list`: commands for team keys. */
import type {Sade} from 'sade';
import {sleep} from '@fireflytrack/time';
import {
  describeChangeState,
  issuedKeySchema,
  keyListSchema,
  withdrawalSchema,
} from './admin-responses.js';
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

interface IssueOptions extends CommonOptions {
  'change-id'?: string;
}

interface WithdrawOptions extends CommonOptions {
  wait?: string;
}

const RETRY_PERIOD_MS = 500;

export function addKeyCommands(program: Sade): void {
  program
    .command('keys issue <team>')
    .describe('Issue a team key and print it; it is not stored in plain text.')
    .option(
      '--change-id',
      'Id of the change; using it again does not issue another key',
    )
    .example('keys issue mall-tunis')
    .example('keys issue mall-tunis --json')
    .action(createAction(issue));
  program
    .command('keys withdraw <keyId>')
    .describe(
      'Withdraw a team key on all instances, even while the store is down.',
    )
    .option('--wait', 'Seconds to wait until no instance accepts the key')
    .example('keys withdraw 0123456789abcdef --wait 10')
    .action(createAction(withdraw));
  program
    .command('keys list')
    .describe('List the keys with id and team, without their secrets.')
    .example('keys list --json')
    .action(createAction(list));
}

async function issue(team: string, options: IssueOptions): Promise<void> {
  const changeId = options['change-id'];
  const body = {team, ...(changeId !== undefined && {changeId})};
  const client = createClient(options);
  const issued = await client.call(issuedKeySchema, 'POST', '/v1/keys', body);
  if (issued.err) throw toCommandFailure(issued.val);
  // Only the key goes to standard output, so that scripts can capture it.
  printResult(options, issued.val, [issued.val.key]);
  if (options.json) return;
  console.error(
    [issued.val.keyId, ...describeChangeState(issued.val)].join('; '),
  );
}

async function withdraw(
  keyId: string,
  options: WithdrawOptions,
): Promise<ExitCode> {
  const waitMs = 1000 * (parseNumberOption('wait', options.wait, 0) ?? 0);
  const giveUpAtMs = performance.now() + waitMs;
  const client = createClient(options);
  const path = `/v1/keys/${encodeURIComponent(keyId)}/withdraw`;
  for (;;) {
    const response = await client.call(withdrawalSchema, 'POST', path);
    if (response.err) throw toCommandFailure(response.val);
    const pending = response.val.state === 'pending' || !response.val.stored;
    if (pending && performance.now() < giveUpAtMs) {
      await sleep(RETRY_PERIOD_MS);
      continue;
    }
    const stored = response.val.stored
      ? 'stored'
      : 'not yet stored: the store does not answer, the instances keep it';
    const summary = `key ${keyId} withdrawn, ${stored}`;
    printResult(options, response.val, [
      summary,
      ...describeChangeState(response.val),
    ]);
    return pending && waitMs > 0 ? EXIT_CODES.pending : EXIT_CODES.done;
  }
}

async function list(options: CommonOptions): Promise<void> {
  const client = createClient(options);
  const response = await client.call(keyListSchema, 'GET', '/v1/keys');
  if (response.err) throw toCommandFailure(response.val);
  const lines = response.val.keys.map(
    ({keyId, team, withdrawn}) =>
      `${keyId}\t${team}\t${withdrawn ? 'withdrawn' : 'valid'}`,
  );
  printResult(options, response.val, lines);
}
