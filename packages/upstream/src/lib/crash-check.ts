/**
 * Tells whether a backend server that dropped a connection has gone down. A
 * server that only breaks off answers still accepts connections.
 */
import {connect} from 'node:net';

export interface ServerAddress {
  host: string;
  port: number;
}

export interface CrashCheck {
  /** Whether the server does not accept connections; never rejects. */
  isDown(address: ServerAddress): Promise<boolean>;
}

// A server in the farthest region accepts a connection within about 20 ms.
const CONNECT_TIMEOUT_MS = 150;
// A process that is ending may still accept a connection, which then breaks.
const ACCEPTED_WAIT_MS = 30;
// All requests that a server lost at one moment share one check.
const RESULT_LIFETIME_MS = 250;

export class ConnectCheck implements CrashCheck {
  private readonly checks = new Map<string, Promise<boolean>>();

  private constructor() {}

  static create(): ConnectCheck {
    return new ConnectCheck();
  }

  isDown({host, port}: ServerAddress): Promise<boolean> {
    const key = `${host}:${port}`;
    let check = this.checks.get(key);
    if (!check) {
      check = refusesConnections(host, port);
      this.checks.set(key, check);
      setTimeout(() => this.checks.delete(key), RESULT_LIFETIME_MS).unref();
    }
    return check;
  }
}

function refusesConnections(host: string, port: number): Promise<boolean> {
  return new Promise(resolve => {
    const socket = connect({host, port});
    const settle = (isDown: boolean) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(isDown);
    };
    let timer = setTimeout(() => settle(true), CONNECT_TIMEOUT_MS);
    socket.once('connect', () => {
      clearTimeout(timer);
      timer = setTimeout(() => settle(false), ACCEPTED_WAIT_MS);
      // Without reading, the end of the connection would go unnoticed.
      socket.resume();
    });
    socket.on('error', () => settle(true));
    socket.on('end', () => settle(true));
  });
}
