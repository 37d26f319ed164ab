/**
 * Finds free ports for processes that need a port number in their settings.
 *
 * The ports lie below the ephemeral range, from which an outgoing connection
 * could otherwise take one before the process listens on it. Each calling
 * process starts in a range derived from its process id, so that tests that run
 * in parallel rarely choose the same ports.
 */
import {createServer} from 'node:net';

const FIRST_PORT = 10_000;
const PORTS_PER_PROCESS = 50;
const PORT_RANGES = 400;

let nextPort = FIRST_PORT + (process.pid % PORT_RANGES) * PORTS_PER_PROCESS;

export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = nextPort;
    nextPort += 1;
    if (nextPort >= FIRST_PORT + PORT_RANGES * PORTS_PER_PROCESS)
      nextPort = FIRST_PORT;
    if (await isPortFree(port)) ports.push(port);
  }
  return ports;
}

function isPortFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise(resolve => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => {
      server.close(() => resolve(true));
    });
  });
}
