/** Finds TCP ports on loopback for the servers of a test. */
import {createServer} from 'node:net';

// Below the ports that systems usually give to outgoing connections, which could
// take a port before its server listens.
const FIRST_PORT = 10_000;
const LAST_PORT = 30_000;
// Test files run as processes with neighboring ids.
const PORTS_PER_PROCESS = 100;

const ports = LAST_PORT - FIRST_PORT;
let offset = (process.pid * PORTS_PER_PROCESS) % ports;

/** Returns a port that is free at this moment, and a different one each time. */
export async function freePort(): Promise<number> {
  for (let tried = 0; tried < ports; tried += 1) {
    const port = FIRST_PORT + offset;
    offset = (offset + 1) % ports;
    if (await isFree(port)) return port;
  }
  throw new Error(`no port from ${FIRST_PORT} to ${LAST_PORT} is free`);
}

function isFree(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
