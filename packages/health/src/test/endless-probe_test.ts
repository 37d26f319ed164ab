/** Guards against a response to a probe without end that fills the memory. */
import {expect} from 'earl';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {it} from 'node:test';
import {createHttpProbe} from '../lib/http-probe.js';

// What the sockets of both sides may hold beyond the limit of a response.
const MAX_SENT_BYTES = 16 * 1_048_576;
const PIECE = Buffer.alloc(65_536, 'a');

it('fails a probe whose response does not end', async () => {
  let sentBytes = 0;
  const server = createServer(socket => {
    socket.on('error', () => {});
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\n\r\n');
      const more = () => {
        if (socket.destroyed) return;
        sentBytes += PIECE.length;
        if (socket.write(PIECE)) setImmediate(more);
        else socket.once('drain', more);
      };
      more();
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const backend = {host: '127.0.0.1', port};
  const result = await createHttpProbe()(
    backend as Parameters<ReturnType<typeof createHttpProbe>>[0],
  );
  server.close();
  expect(result).toEqual('failed');
  expect(sentBytes).toBeLessThan(MAX_SENT_BYTES);
});
