/** Command line of `fireflytrackd`. */
import {formatTextError} from '@fireflytrack/configuration';
import {readFileSync} from 'node:fs';
import sade from 'sade';
import {Daemon} from './daemon.js';
import {parseSettings} from './settings.js';

const VERSION = '0.1.0';
const EXIT_BAD_SETTINGS = 2;

export async function main(argv: string[]): Promise<void> {
  const program = sade('fireflytrackd <settings>', true);
  program
    .version(VERSION)
    .describe('Runs one instance of the fireflytrack proxy fleet.')
    .example('/etc/fireflytrack/instance.ini')
    .action((file: string) => runDaemon(file));
  program.parse(argv);
}

async function runDaemon(file: string): Promise<void> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch {
    console.error(`${file}: cannot be read`);
    process.exitCode = EXIT_BAD_SETTINGS;
    return;
  }
  const settings = parseSettings(text, file);
  if (settings.err) {
    console.error(formatTextError(settings.val));
    process.exitCode = EXIT_BAD_SETTINGS;
    return;
  }
  const daemon = Daemon.create(settings.val);
  const stop = () => void daemon.stop().then(() => process.exit(0));
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  process.on('SIGUSR2', () => {
    daemon.logger.info('state dump', {state: daemon.dump.collect()});
  });
  await daemon.start();
}
