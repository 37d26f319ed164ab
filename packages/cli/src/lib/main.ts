/** Command line of `fireflytrack`, the operators' tool. */
import sade from 'sade';
import {addCheckCommand} from './check-command.js';
import {addExplainCommand} from './explain-command.js';
import {addConfigCommands} from './config-commands.js';
import {addInstanceCommands} from './instance-commands.js';
import {addKeyCommands} from './key-commands.js';

const VERSION = '0.1.0';

// Otherwise the parser converts numeric values, such as a token of digits.
const TEXT_OPTIONS = [
  'url',
  'token',
  'base',
  'change-id',
  'wait',
  'config-version',
  'limit',
];

export async function main(argv: string[]): Promise<void> {
  const program = sade('fireflytrack');
  program
    .version(VERSION)
    .option(
      '--url',
      'Administration API of any instance; FIREFLYTRACK_URL',
      process.env['FIREFLYTRACK_URL'] ?? 'http://127.0.0.1:8100',
    )
    .option('--token', 'Administration token; FIREFLYTRACK_TOKEN if absent')
    .option('--json', 'Print JSON');
  addCheckCommand(program);
  addExplainCommand(program);
  addConfigCommands(program);
  addKeyCommands(program);
  addInstanceCommands(program);
  await program.parse(argv, {
    string: TEXT_OPTIONS,
    boolean: ['json'],
    unknown: (flag: string) => `Unknown option: ${flag}`,
  });
}
