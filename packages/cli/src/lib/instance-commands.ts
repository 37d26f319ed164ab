/** `status`, `dump` and `drain`: commands for one instance. */
import type {Sade} from 'sade';
import {
  anyObjectSchema,
  instanceListSchema,
  statusSchema,
} from './admin-responses.js';
import {
  CommandFailure,
  createClient,
  createAction,
  toCommandFailure,
  printResult,
} from './command-line.js';
import type {CommonOptions} from './command-line.js';
import {EXIT_CODES} from './exit-codes.js';

export function addInstanceCommands(program: Sade): void {
  program
    .command('status')
    .describe(
      'Show the configuration version in use, its freshness and the peers.',
    )
    .example('status --url http://10.0.0.7:8100')
    .example('status --json')
    .action(createAction(status));
  program
    .command('dump <instance>')
    .describe('Print the state of an instance, given by id or URL, as JSON.')
    .example('dump nord-1-i7')
    .example('dump http://10.0.0.7:8100')
    .action(createAction(dump));
  program
    .command('drain <instance>')
    .describe('Start a graceful stop of an instance, given by id or URL.')
    .example('drain nord-1-i7')
    .action(createAction(drain));
}

async function status(options: CommonOptions): Promise<void> {
  const client = createClient(options);
  const response = await client.call(statusSchema, 'GET', '/v1/status');
  if (response.err) throw toCommandFailure(response.val);
  const {instanceId, configurationVersion, peers, ageMs} = response.val;
  const age = ageMs === undefined ? 'no evidence' : `${ageMs} ms old`;
  const store = response.val.storeReadsFailing ? 'not answering' : 'answering';
  const lines = [
    `${instanceId}: version ${configurationVersion}`,
    `ready: ${response.val.ready}, serving: ${response.val.mayServe}`,
    `evidence of the store's state: ${age}; store: ${store}`,
    ...peers.map(peer => {
      const version = peer.configurationVersion ?? 'unknown';
      const states = [
        peer.reachable ? 'reachable' : 'unreachable',
        ...(peer.listed ? [] : ['not listed']),
        ...(peer.leaving ? ['leaving'] : []),
      ];
      const place = `${peer.instanceId}\t${peer.availabilityZone}`;
      return `${place}\tversion ${version}\t${states.join(', ')}`;
    }),
  ];
  printResult(options, response.val, lines);
}

async function dump(instance: string, options: CommonOptions): Promise<void> {
  const url = await resolveInstance(instance, options);
  const client = createClient({...options, url});
  const response = await client.call(anyObjectSchema, 'GET', '/v1/dump');
  if (response.err) throw toCommandFailure(response.val);
  printResult(options, response.val, [JSON.stringify(response.val, null, 2)]);
}

async function drain(instance: string, options: CommonOptions): Promise<void> {
  const url = await resolveInstance(instance, options);
  const client = createClient({...options, url});
  const response = await client.call(anyObjectSchema, 'POST', '/v1/drain');
  if (response.err) throw toCommandFailure(response.val);
  printResult(options, response.val, [`${instance}: draining`]);
}

/** Returns the administration URL of an instance that is given by id or URL. */
async function resolveInstance(
  instance: string,
  options: CommonOptions,
): Promise<string> {
  if (/^https?:\/\//.test(instance)) return instance;
  const client = createClient(options);
  const response = await client.call(
    instanceListSchema,
    'GET',
    '/v1/instances',
  );
  if (response.err) throw toCommandFailure(response.val);
  const {instances} = response.val;
  const found = instances.find(entry => entry.instanceId === instance);
  if (!found) {
    const message = `${instance}: not on the platform's instance list`;
    throw new CommandFailure(message, EXIT_CODES.failed);
  }
  const host = found.host.includes(':') ? `[${found.host}]` : found.host;
  return `http://${host}:${found.adminPort}`;
}
