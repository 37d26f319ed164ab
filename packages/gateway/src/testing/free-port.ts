/** Finds a TCP port on loopback that is free at this moment. */
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';

export function freePort(): Promise<number> {
  return new Promise(resolve => {
    const server = createServer();
    server.listen(0, '127.0.0.1', () => {
      const {port} = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });
}
