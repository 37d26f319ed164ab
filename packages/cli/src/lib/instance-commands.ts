/** `status`, `dump` and `drain`: single instances. */
import type {Sade} from 'sade';
import {anySchema, instancesSchema, statusSchema} from './answers.js';
import {
  CommandFailure,
  clientOf,
  command,
  failureOf,
  print,
} from './command-line.js';
import type {CommonOptions} from './command-line.js';
import {EXIT_CODES} from './exit-codes.js';

export function addInstanceCommands(program: Sade): void {
  program
    .command('status')
    .describe('Show the version in use, the freshness and the peers.')
    .example('status --url http://10.0.0.7:8100')
    .example('status --json')
    .action(command(status));
  program
    .command('dump <instance>')
    .describe('Print the state of an instance, named by id or URL, as JSON.')
    .example('dump nord-1-i7')
    .example('dump http://10.0.0.7:8100')
    .action(command(dump));
  program
    .command('drain <instance>')
    .describe('Start the planned stop of an instance, named by id or URL.')
    .example('drain nord-1-i7')
    .action(command(drain));
}

async function status(options: CommonOptions): Promise<void> {
  const client = clientOf(options);
  const found = await client.call(statusSchema, 'GET', '/v1/status');
  if (found.err) throw failureOf(found.val);
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
  print(options, found.val, lines);
}

async function dump(instance: string, options: CommonOptions): Promise<void> {
  const url = await resolveInstance(instance, options);
  const client = clientOf({...options, url});
  const found = await client.call(anySchema, 'GET', '/v1/dump');
  if (found.err) throw failureOf(found.val);
  print(options, found.val, [JSON.stringify(found.val, null, 2)]);
}

async function drain(instance: string, options: CommonOptions): Promise<void> {
  const url = await resolveInstance(instance, options);
  const client = clientOf({...options, url});
  const done = await client.call(anySchema, 'POST', '/v1/drain');
  if (done.err) throw failureOf(done.val);
  print(options, done.val, [`${instance}: draining`]);
}

/** The administration URL of an instance that is named by id or URL. */
async function resolveInstance(
  instance: string,
  options: CommonOptions,
): Promise<string> {
  if (/^https?:\/\//.test(instance)) return instance;
  const client = clientOf(options);
  const listed = await client.call(instancesSchema, 'GET', '/v1/instances');
  if (listed.err) throw failureOf(listed.val);
  const {instances} = listed.val;
  const found = instances.find(one => one.instanceId === instance);
  if (!found) {
    const message = `${instance}: not on the platform's instance list`;
    throw new CommandFailure(message, EXIT_CODES.failed);
  }
  const host = found.host.includes(':') ? `[${found.host}]` : found.host;
  return `http://${host}:${found.adminPort}`;
}
