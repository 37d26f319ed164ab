/**
 * `check`: validates a file and contacts nothing. The file is a configuration,
 * a policy of gateway processes, or the settings of one.
 */
import type {Sade} from 'sade';
import {command, print} from './command-line.js';
import type {CommonOptions} from './command-line.js';
import {checkFile} from './text-file.js';

export function addCheckCommand(program: Sade): void {
  program
    .command('check <file>')
    .describe(
      'Validate a configuration, policy or settings file without contacting anything.',
    )
    .example('check examples/tunisia.ini')
    .example('check examples/tunisia.ini --json')
    .action(
      command((file: string, options: CommonOptions) => {
        checkFile(file);
        print(options, {file, valid: true}, [`${file}: valid`]);
      }),
    );
}
