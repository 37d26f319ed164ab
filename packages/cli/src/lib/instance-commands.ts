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
  const found = await client.call(statusSchema, 'GET', '/v1/status');
  if (found.err) throw toCommandFailure(found.val);
  const {instanceId, configurationVersion, peers, ageMs} = found.val;
  const age = ageMs === undefined ? 'no evidence' : `${ageMs} ms old`;
  const store = found.val.storeReadsFailing ? 'not answering' : 'answering';
  const lines = [
    `${instanceId}: version ${configurationVersion}`,
    `ready: ${found.val.ready}, serving: ${found.val.mayServe}`,
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
  printResult(options, found.val, lines);
}

async function dump(instance: string, options: CommonOptions): Promise<void> {
  const url = await resolveInstance(instance, options);
  const client = createClient({...options, url});
  const found = await client.call(anyObjectSchema, 'GET', '/v1/dump');
  if (found.err) throw toCommandFailure(found.val);
  printResult(options, found.val, [JSON.stringify(found.val, null, 2)]);
}

async function drain(instance: string, options: CommonOptions): Promise<void> {
  const url = await resolveInstance(instance, options);
  const client = createClient({...options, url});
  const done = await client.call(anyObjectSchema, 'POST', '/v1/drain');
  if (done.err) throw toCommandFailure(done.val);
  printResult(options, done.val, [`${instance}: draining`]);
}

/** Returns the administration URL of an instance that is given by id or URL. */
async function resolveInstance(
  instance: string,
  options: CommonOptions,
): Promise<string> {
  if (/^https?:\/\//.test(instance)) return instance;
  const client = createClient(options);
  const listed = await client.call(instanceListSchema, 'GET', '/v1/instances');
  if (listed.err) throw toCommandFailure(listed.val);
  const {instances} = listed.val;
  const found = instances.find(entry => entry.instanceId === instance);
  if (!found) {
    const message = `${instance}: not on the platform's instance list`;
    throw new CommandFailure(message, EXIT_CODES.failed);
  }
  const host = found.host.includes(':') ? `[${found.host}]` : found.host;
  return `http://${host}:${found.adminPort}`;
}
