/**
 * Command lines of the stand-in processes. Each prints `{port}` as a line of
 * JSON once it listens and runs until SIGTERM or SIGINT.
 */
import sade from 'sade';
import {BackendStandIn} from './backend-stand-in.js';
import {PlatformServer} from './platform-server.js';

interface PlatformFlags {
  port: string;
}

interface BackendFlags {
  port: string;
  slots: string;
  'service-time-ms': string;
  'cold-start-ms': string;
}

const CONNECTION_COST_MS = 1;
const REPORT_LAG_MS = 1000;

export async function runPlatform(argv: string[]): Promise<void> {
  const program = sade('platform', true)
    .option('--port', 'Loopback port to listen on, 0 for a free one', '0')
    .action(async (flags: PlatformFlags) => {
      const server = PlatformServer.create({port: Number(flags.port)});
      await server.start();
      console.log(JSON.stringify({port: server.port()}));
      stopOnSignal(() => server.stop());
    });
  await program.parse(argv);
}

export async function runBackend(argv: string[]): Promise<void> {
  const program = sade('backend', true)
    .option('--port', 'Loopback port to listen on, 0 for a free one', '0')
    .option('--slots', 'Number of requests served concurrently', '4')
    .option('--service-time-ms', 'Service time of one request', '5')
    .option(
      '--cold-start-ms',
      'How long responses stay slow after startup',
      '0',
    )
    .action(async (flags: BackendFlags) => {
      const server = BackendStandIn.create({
        port: Number(flags.port),
        slots: Number(flags.slots),
        serviceTimeMs: Number(flags['service-time-ms']),
        connectionCostMs: CONNECTION_COST_MS,
        coldStartMs: Number(flags['cold-start-ms']),
        reportLagMs: REPORT_LAG_MS,
      });
      await server.start();
      console.log(JSON.stringify({port: server.port()}));
      stopOnSignal(() => server.stop());
    });
  await program.parse(argv);
}

function stopOnSignal(stop: () => Promise<void>): void {
  const exit = () => void stop().then(() => process.exit(0));
  process.on('SIGTERM', exit);
  process.on('SIGINT', exit);
}
