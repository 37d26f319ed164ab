/** `check`: validates a file and contacts nothing. */
import type {Sade} from 'sade';
import {command, print} from './command-line.js';
import type {CommonOptions} from './command-line.js';
import {readConfigurationFile} from './text-file.js';

export function addCheckCommand(program: Sade): void {
  program
    .command('check <file>')
    .describe('Validate a configuration file without contacting anything.')
    .example('check examples/tunisia.ini')
    .example('check examples/tunisia.ini --json')
    .action(
      command((file: string, options: CommonOptions) => {
        readConfigurationFile(file);
        print(options, {file, valid: true}, [`${file}: valid`]);
      }),
    );
}
