/**
 * Ends the service to callers at a planned stop, so that each request that was
 * read completely gets an answer.
 *
 * Requests are accepted while the load balancer still sends new connections.
 * Then idle connections are closed, and only requests are accepted whose deadline
 * comes before the end. Shortly before the time limit, the requests that are
 * still open are given up and answered.
 */
import type {CallerConnections} from '@fireflytrack/callers';
import {sleep} from '@fireflytrack/time';
import type {Logger} from '@fireflytrack/telemetry';
import type {CallerServer} from './caller-server.js';
import type {RequestHandler} from './request-handler.js';
import {BALANCER_DETECTION_MS, planStop} from './stop-schedule.js';

export interface GracefulStopOptions {
  /** Time limit of the stop, at which the platform ends the process. */
  stopWithinMs: number;
  connections: CallerConnections;
  requestHandler: RequestHandler;
  callerServer: CallerServer;
  logger: Logger;
}

// A connection counts as idle this long after it was opened or finished its
// last request.
const IDLE_CONNECTION_MS = 300;
// Share of the stop after which no new connections are accepted.
const STOP_ACCEPTING_SHARE = 0.5;
const CHECK_INTERVAL_MS = 50;
// Bounds the log lines about requests that the time limit cuts.
const MAX_CUT_LINES = 100;

export class GracefulStop {
  private constructor(private readonly options: GracefulStopOptions) {}

  static create(options: GracefulStopOptions): GracefulStop {
    return new GracefulStop(options);
  }

  /** Resolves when no connection is open, or when it is time to close down. */
  async run(): Promise<void> {
    const {stopWithinMs, connections, requestHandler, callerServer, logger} =
      this.options;
    const schedule = planStop(stopWithinMs);
    const {givesUpAfterMs, endsAfterMs} = schedule;
    const startedAtMs = performance.now();
    logger.info('stopping', {inFlight: requestHandler.requestsInFlight});
    requestHandler.beginStop(startedAtMs, schedule);
    for (;;) {
      await sleep(CHECK_INTERVAL_MS);
      const elapsedMs = performance.now() - startedAtMs;
      if (elapsedMs >= endsAfterMs) break;
      if (elapsedMs >= givesUpAfterMs) requestHandler.giveUpOpenRequests();
      if (elapsedMs < BALANCER_DETECTION_MS) continue;
      if (elapsedMs >= endsAfterMs * STOP_ACCEPTING_SHARE) {
        callerServer.stopAccepting();
      }
      // Their callers reconnect to other instances.
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
