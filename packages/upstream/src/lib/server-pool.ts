/** The connections of this process to one backend server. */
import {ServerConnection} from './server-connection.js';

export interface ServerPoolOptions {
  host: string;
  port: number;
  /** Most connections of this process at the same time. */
  maxConnections(): number;
}

export class ServerPool {
  private readonly idle: ServerConnection[] = [];
  private open = 0;
  private closed = false;

  private constructor(private readonly options: ServerPoolOptions) {}

  static create(options: ServerPoolOptions): ServerPool {
    return new ServerPool(options);
  }

  /** Whether a request would find a connection. */
  get hasRoom(): boolean {
    return this.idle.length > 0 || this.open < this.options.maxConnections();
  }

  /**
   * Takes the connection that was used last, if it was idle for at most
   * `maxIdleMs`, or opens one. It carries one request and is then given back
   * or dropped.
   */
  take(maxIdleMs: number): ServerConnection | undefined {
    while (this.idle.length > 0) {
      const connection = this.idle.pop()!;
      const idleMs = performance.now() - connection.idleSinceMs;
      if (connection.isOpen && idleMs <= maxIdleMs) return connection;
      this.drop(connection);
    }
    if (this.open >= this.options.maxConnections()) return undefined;
    this.open += 1;
    const {host, port} = this.options;
    const connection = ServerConnection.create(host, port, () => {
      const index = this.idle.indexOf(connection);
      if (index < 0) return;
      this.idle.splice(index, 1);
      this.drop(connection);
    });
    return connection;
  }

  giveBack(connection: ServerConnection): void {
    if (this.closed || !connection.isOpen) {
      this.drop(connection);
      return;
    }
    connection.idleSinceMs = performance.now();
    connection.isReused = true;
    this.idle.push(connection);
  }

  drop(connection: ServerConnection): void {
    this.open -= 1;
    connection.close();
  }

  /** Closes the connections that are idle. */
  dropIdle(): void {
    for (const connection of this.idle.splice(0)) this.drop(connection);
  }

  /** Closes idle connections now and the others when they are given back. */
  close(): void {
    this.closed = true;
    this.dropIdle();
  }
}
