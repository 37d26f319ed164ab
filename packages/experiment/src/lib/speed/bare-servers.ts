/**
 * The servers that fireflytrackd is compared with: a minimal backend server and
 * two plain forwarders without rate limits, server selection or retries.
 */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import moleculer from 'moleculer';
import ApiGateway from 'moleculer-web';
import {Pool} from 'undici';

const BODY = Buffer.from(JSON.stringify({reading: 17, unit: 'persons'}));
const CONNECTIONS = 360;

export async function startBackend(): Promise<number> {
  const server = createServer((request, response) => {
    request.resume();
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': BODY.length,
    });
    response.end(BODY);
  });
  return listen(server);
}

export async function startHttpForwarder(targetUrl: string): Promise<number> {
  const pool = new Pool(targetUrl, {connections: CONNECTIONS});
  return listen(
    createServer((request, response) => void forward(pool, request, response)),
  );
}

export async function startMoleculerForwarder(
  targetUrl: string,
): Promise<number> {
  const pool = new Pool(targetUrl, {connections: CONNECTIONS});
  const broker = new moleculer.ServiceBroker({
    logger: false,
    transporter: null,
    metrics: false,
    tracing: false,
  });
  const service = broker.createService({
    name: 'forwarder',
    mixins: [ApiGateway],
    settings: {
      ip: '127.0.0.1',
      port: 0,
      logRequest: null,
      logResponse: null,
      routes: [
        {
          path: '/',
          aliases: {
            '/(.*)': (request: IncomingMessage, response: ServerResponse) =>
              forward(pool, request, response),
          },
          mappingPolicy: 'restrict',
          mergeParams: false,
          bodyParsers: false,
        },
      ],
    },
  });
  await broker.start();
  const {server} = service as unknown as {server: Server};
  return (server.address() as AddressInfo).port;
}

async function forward(
  pool: Pool,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const {method, url, headers} = request;
  const forwardedHeaders = {...headers};
  delete forwardedHeaders.host;
  delete forwardedHeaders.connection;
  const upstreamResponse = await pool.request({
    method: method as 'GET',
    path: url ?? '/',
    headers: forwardedHeaders,
    body: method === 'GET' ? null : request,
  });
  response.writeHead(upstreamResponse.statusCode, upstreamResponse.headers);
  upstreamResponse.body.pipe(response);
}

async function listen(server: Server): Promise<number> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return (server.address() as AddressInfo).port;
}
