/** Command line of `fireflytrack`, the operators' tool. */
import {
  formatTextError,
  parseConfigurationText,
} from '@fireflytrack/configuration';
import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import sade from 'sade';
import {AdminClient} from './admin-client.js';

const VERSION = '0.1.0';
const EXIT_FAILED = 1;
const EXIT_INVALID = 2;

interface CommonOptions {
  url: string;
  token: string;
  json?: boolean;
}

interface ApplyOptions extends CommonOptions {
  base?: string;
  'change-id'?: string;
}

export async function main(argv: string[]): Promise<void> {
  const program = sade('fireflytrack');
  program
    .version(VERSION)
    .option(
      '--url',
      'Administration API of any instance',
      process.env['FIREFLYTRACK_URL'] ?? 'http://127.0.0.1:8100',
    )
    .option(
      '--token',
      'Administration token',
      process.env['FIREFLYTRACK_TOKEN'] ?? '',
    )
    .option('--json', 'Print JSON');
  program
    .command('check <file>')
    .describe('Validate a configuration file without contacting anything.')
    .example('check fleet.ini')
    .action((file: string) => check(file));
  program
    .command('apply <file>')
    .describe('Apply a configuration file.')
    .option('--base', 'Version that the change is based on')
    .option('--change-id', 'Id that resolves a lost answer when repeated')
    .example('apply fleet.ini --base 3')
    .action((file: string, options: ApplyOptions) => apply(file, options));
  program
    .command('keys issue <team>')
    .describe('Issue a team key and print it; it is not kept in clear.')
    .example('keys issue tills-bergamo')
    .action((team: string, options: CommonOptions) => issueKey(team, options));
  await program.parse(argv);
}

function readText(file: string): string | undefined {
  try {
    return readFileSync(file, 'utf8');
  } catch {
    fail(`${file}: section [] key "": expected a readable file`, EXIT_INVALID);
    return undefined;
  }
}

function check(file: string): void {
  const text = readText(file);
  if (text === undefined) return;
  const parsed = parseConfigurationText(text, file);
  if (parsed.err) fail(formatTextError(parsed.val), EXIT_INVALID);
  else console.log(`${file}: valid`);
}

async function apply(file: string, options: ApplyOptions): Promise<void> {
  const text = readText(file);
  if (text === undefined) return;
  const client = AdminClient.create(options);
  let base = Number(options.base);
  if (options.base === undefined) {
    const current = await client.call('GET', '/v1/config');
    if (current.err) return fail(current.val.message, EXIT_FAILED);
    base = Number(current.val['version']);
  }
  const changeId = options['change-id'] ?? randomUUID();
  const body = {text, baseVersion: base, changeId};
  const applied = await client.call('PUT', '/v1/config', body);
  if (applied.err) return fail(applied.val.message, EXIT_FAILED);
  if (options.json) console.log(JSON.stringify(applied.val));
  else console.log(`version ${applied.val['version']} accepted`);
}

async function issueKey(team: string, options: CommonOptions): Promise<void> {
  const client = AdminClient.create(options);
  const issued = await client.call('POST', '/v1/keys', {team});
  if (issued.err) return fail(issued.val.message, EXIT_FAILED);
  if (options.json) console.log(JSON.stringify(issued.val));
  else console.log(issued.val['key']);
}

function fail(message: string, code: number): void {
  console.error(message);
  process.exitCode = code;
}
