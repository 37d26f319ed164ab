/**
 * Ends the service to callers at a planned stop, so that each request that was
 * read completely gets an answer.
 *
 * Requests are accepted while the load balancer still sends new connections.
 * Then idle connections are closed, and from the middle of the stop on new
 * requests are refused. Shortly before the time limit, the requests that are
 * still open are given up and answered.
 */
import type {CallerConnections} from '@fireflytrack/callers';
import {sleep} from '@fireflytrack/time';
import type {Logger} from '@fireflytrack/telemetry';
import type {CallerServer} from './caller-server.js';
import type {RequestHandler} from './request-handler.js';

export interface GracefulStopOptions {
  /** Time limit of the stop, without what closing down takes. */
  limitMs: number;
  connections: CallerConnections;
  requestHandler: RequestHandler;
  callerServer: CallerServer;
  logger: Logger;
}

// The load balancer probes readiness once a second and stops sending new
// connections after two failed probes. From then on idle connections are closed,
// so that callers reconnect to other instances.
const BALANCER_DETECTION_MS = 2500;
// A connection counts as idle this long after it was opened or finished its
// last request.
const IDLE_CONNECTION_MS = 300;
// Share of the time limit after which new requests are refused. The slowest take
// seconds, and the rest of the time is for them.
const REFUSE_NEW_AFTER_SHARE = 0.5;
// Part of the time limit in which the answers to requests that were given up
// reach their callers, and those that waited behind them on a connection.
const DELIVERY_MS = 300;
const CHECK_INTERVAL_MS = 50;
// Bounds the log lines about requests that the time limit cuts.
const MAX_CUT_LINES = 100;

export class GracefulStop {
  private constructor(private readonly options: GracefulStopOptions) {}

  static create(options: GracefulStopOptions): GracefulStop {
    return new GracefulStop(options);
  }

  /** Resolves when no connection is open, or at the time limit. */
  async run(): Promise<void> {
    const {limitMs, connections, requestHandler, callerServer, logger} =
      this.options;
    const startedAtMs = performance.now();
    const giveUpAfterMs = limitMs - DELIVERY_MS;
    logger.info('stopping', {inFlight: requestHandler.requestsInFlight});
    requestHandler.beginStop(startedAtMs + giveUpAfterMs);
    for (;;) {
      await sleep(CHECK_INTERVAL_MS);
      const elapsedMs = performance.now() - startedAtMs;
      if (elapsedMs >= limitMs) break;
      const refuses = elapsedMs >= limitMs * REFUSE_NEW_AFTER_SHARE;
      if (refuses) requestHandler.refuseNew();
      if (elapsedMs >= giveUpAfterMs) requestHandler.giveUpOpenRequests();
      if (elapsedMs < BALANCER_DETECTION_MS) continue;
      if (refuses) callerServer.stopAccepting();
      connections.closeIdle(IDLE_CONNECTION_MS);
      if (connections.size === 0) break;
    }
    // Requests may still come while the rest of the process closes down.
    requestHandler.refuseNew();
    callerServer.stopAccepting();
    this.logCutRequests();
  }

  private logCutRequests(): void {
    const {connections, requestHandler, logger} = this.options;
    const open = connections.reportOpen();
    for (const request of open.slice(0, MAX_CUT_LINES)) {
      logger.warn('request cut by the stop', {...request});
    }
    logger.info('stopped', {
      cut: requestHandler.requestsInFlight,
      undelivered: open.length,
    });
  }
}
