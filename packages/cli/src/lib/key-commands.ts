/** `keys issue`, `keys withdraw` and `keys list`. */
import type {Sade} from 'sade';
import {sleep} from '@fireflytrack/time';
import {
  describeState,
  issuedSchema,
  keysSchema,
  withdrawalSchema,
} from './answers.js';
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

interface IssueOptions extends CommonOptions {
  'change-id'?: string;
}

interface WithdrawOptions extends CommonOptions {
  wait?: string;
}

const FOLLOW_PERIOD_MS = 500;

export function addKeyCommands(program: Sade): void {
  program
    .command('keys issue <team>')
    .describe('Issue a team key and print it; it is not kept in clear.')
    .option(
      '--change-id',
      'Id of the change; repeating it issues no second key',
    )
    .example('keys issue mall-tunis')
    .example('keys issue mall-tunis --json')
    .action(command(issue));
  program
    .command('keys withdraw <keyId>')
    .describe('Withdraw a team key everywhere; works while the store is down.')
    .option('--wait', 'Seconds to wait until no instance accepts the key')
    .example('keys withdraw 0123456789abcdef --wait 10')
    .action(command(withdraw));
  program
    .command('keys list')
    .describe('List the keys by id and team, without their secrets.')
    .example('keys list --json')
    .action(command(list));
}

async function issue(team: string, options: IssueOptions): Promise<void> {
  const changeId = options['change-id'];
  const body = {team, ...(changeId !== undefined && {changeId})};
  const client = clientOf(options);
  const issued = await client.call(issuedSchema, 'POST', '/v1/keys', body);
  if (issued.err) throw failureOf(issued.val);
  // Only the key goes to standard output, so that it can be captured.
  print(options, issued.val, [issued.val.key]);
  if (options.json) return;
  console.error([issued.val.keyId, ...describeState(issued.val)].join('; '));
}

async function withdraw(
  keyId: string,
  options: WithdrawOptions,
): Promise<ExitCode> {
  const waitMs = 1000 * (numberOption('wait', options.wait, 0) ?? 0);
  const untilMs = performance.now() + waitMs;
  const client = clientOf(options);
  const path = `/v1/keys/${encodeURIComponent(keyId)}/withdraw`;
  for (;;) {
    const done = await client.call(withdrawalSchema, 'POST', path);
    if (done.err) throw failureOf(done.val);
    const pending = done.val.state === 'pending' || !done.val.stored;
    if (pending && performance.now() < untilMs) {
      await sleep(FOLLOW_PERIOD_MS);
      continue;
    }
    const stored = done.val.stored
      ? 'stored'
      : 'not yet stored: the store does not answer, the instances keep it';
    const head = `key ${keyId} withdrawn, ${stored}`;
    print(options, done.val, [head, ...describeState(done.val)]);
    return pending && waitMs > 0 ? EXIT_CODES.pending : EXIT_CODES.done;
  }
}

async function list(options: CommonOptions): Promise<void> {
  const client = clientOf(options);
  const found = await client.call(keysSchema, 'GET', '/v1/keys');
  if (found.err) throw failureOf(found.val);
  const lines = found.val.keys.map(
    ({keyId, team, withdrawn}) =>
      `${keyId}\t${team}\t${withdrawn ? 'withdrawn' : 'valid'}`,
  );
  print(options, found.val, lines);
}
