/** Pool of this process's connections to one backend server. */
import {ServerConnection} from './server-connection.js';

export interface ServerPoolOptions {
  host: string;
  port: number;
  /** Maximum number of open connections of this process. */
  maxConnections(): number;
}

export type AcquireResult =
  | {kind: 'acquired'; connection: ServerConnection}
  | {kind: 'at-limit'}
  /** No connection can be created to the address of the server. */
  | {kind: 'failed'; reason: string};

export class ServerPool {
  private readonly idle: ServerConnection[] = [];
  /** Number of open connections, idle or in use. */
  private size = 0;
  private closed = false;

  private constructor(private readonly options: ServerPoolOptions) {}

  static create(options: ServerPoolOptions): ServerPool {
    return new ServerPool(options);
  }

  /** Whether a connection is idle or may be opened. */
  get hasCapacity(): boolean {
    return this.idle.length > 0 || this.size < this.options.maxConnections();
  }

  /**
   * Returns the most recently used connection if it has been idle for at most
   * `maxIdleMs` and has not carried `requestId`, or opens a new one. The
   * connection carries one request and is then released or discarded.
   */
  acquire(maxIdleMs: number, requestId: string): AcquireResult {
    for (let index = this.idle.length - 1; index >= 0; index -= 1) {
      const connection = this.idle[index]!;
      const idleMs = performance.now() - connection.idleSinceMs;
      const isUsable = connection.isOpen && idleMs <= maxIdleMs;
      if (isUsable && connection.hasCarried(requestId)) continue;
      this.idle.splice(index, 1);
      if (isUsable) return {kind: 'acquired', connection};
      this.discard(connection);
    }
    // Connections that are still idle make room for a new one.
    while (this.size >= this.options.maxConnections()) {
      const oldest = this.idle.shift();
      if (!oldest) return {kind: 'at-limit'};
      this.discard(oldest);
    }
    try {
      const connection = this.create();
      this.size += 1;
      return {kind: 'acquired', connection};
    } catch (error) {
      // The caller logs the reason as a failure of the server.
      return {kind: 'failed', reason: `no connection: ${String(error)}`};
    }
  }

  private create(): ServerConnection {
    const {host, port} = this.options;
    const connection = ServerConnection.create(host, port, () => {
      const index = this.idle.indexOf(connection);
      if (index < 0) return;
      this.idle.splice(index, 1);
      this.discard(connection);
    });
    return connection;
  }

  /** Makes a connection available for reuse. */
  release(connection: ServerConnection): void {
    if (this.closed || !connection.isOpen) {
      this.discard(connection);
      return;
    }
    connection.idleSinceMs = performance.now();
    connection.isReused = true;
    this.idle.push(connection);
  }

  /** Closes a connection and removes it from the pool. */
  discard(connection: ServerConnection): void {
    this.size -= 1;
    connection.close();
  }

  /** Closes the idle connections. */
  closeIdle(): void {
    for (const connection of this.idle.splice(0)) this.discard(connection);
  }

  /** Closes idle connections now and the others when they are released. */
  close(): void {
    this.closed = true;
    this.closeIdle();
  }
}
