/**
 * A process of its own with servers that answer each request by a flood, so that
 * sending it takes no time from the process under test. Arguments: the name of
 * the form, and the number of servers. Sends their ports to its parent.
 */
import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {FLOOD_FORMS} from './flood-forms.js';

const PIECE_BYTES = 65_536;

const [, , formName, serverCount] = process.argv;
const form = FLOOD_FORMS.find(({name}) => name === formName)!;
const bytes = Buffer.from(
  form.piece.repeat(Math.ceil(PIECE_BYTES / form.piece.length)),
);

function flood(socket: Socket): void {
  let isFlooding = false;
  socket.on('error', () => {});
  socket.on('data', data => {
    if (isFlooding) return;
    isFlooding = true;
    const id = /request-id: (\S+)/i.exec(String(data))?.[1] ?? '';
    socket.write(form.start(id));
    const more = () => {
      if (socket.destroyed) return;
      if (socket.write(bytes)) setImmediate(more);
      else socket.once('drain', more);
    };
    more();
  });
}

async function listen(): Promise<Server> {
  const server = createServer(flood);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return server;
}

const servers = await Promise.all(
  Array.from({length: Number(serverCount)}, listen),
);
process.send!(servers.map(server => (server.address() as AddressInfo).port));
process.once('disconnect', () => process.exit());
