/** Command line of the helper processes of the path-speed measurement. */
import sade from 'sade';
import {
  startBackend,
  startHttpForwarder,
  startMoleculerForwarder,
} from './bare-servers.js';
import {LoadGenerator, loadSchema} from './load-generator.js';

/**
 * Runs a server, which prints `{port}` as its first line and runs until SIGTERM,
 * or a load generator, which prints its result as JSON.
 */
export async function runSpeedProcess(argv: string[]): Promise<void> {
  const program = sade('speed-process');
  program.command('backend').action(() => serve(startBackend()));
  program
    .command('http-forwarder <targetUrl>')
    .action((url: string) => serve(startHttpForwarder(url)));
  program
    .command('moleculer-forwarder <targetUrl>')
    .action((url: string) => serve(startMoleculerForwarder(url)));
  program
    .command('load <options>')
    .describe('Generates load with the given JSON options; prints the result.')
    .action(async (options: string) => {
      const parsed = loadSchema.parse(JSON.parse(options));
      console.log(JSON.stringify(await LoadGenerator.run(parsed)));
    });
  await program.parse(argv);
}

async function serve(port: Promise<number>): Promise<void> {
  console.log(JSON.stringify({port: await port}));
  process.on('SIGTERM', () => process.exit(0));
}
