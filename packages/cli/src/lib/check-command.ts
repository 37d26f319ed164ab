/**
 * `check`: validates a file offline. The file is a configuration, a policy of
 * gateway processes, or the settings of a gateway process.
 */
import type {Sade} from 'sade';
import {createAction, printResult} from './command-line.js';
import type {CommonOptions} from './command-line.js';
import {validateFile} from './text-file.js';

export function addCheckCommand(program: Sade): void {
  program
    .command('check <file>')
    .describe('Validate a configuration, policy or settings file offline.')
    .example('check examples/tunisia.ini')
    .example('check examples/tunisia.ini --json')
    .action(
      createAction((file: string, options: CommonOptions) => {
        validateFile(file);
        printResult(options, {file, valid: true}, [`${file}: valid`]);
      }),
    );
}
