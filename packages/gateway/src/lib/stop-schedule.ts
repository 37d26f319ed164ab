/**
 * Divides the time limit of a planned stop.
 *
 * While the load balancer may still send new connections, each request is
 * accepted, and one that outlasts the stop is given up near its end. From then
 * on only requests are accepted whose deadline comes before that. In the last
 * part of the limit, the answers are delivered and the process closes down.
 */

/** Spans since the begin of the stop. */
export interface StopSchedule {
  /** Requests are accepted for this long, whatever their deadlines. */
  acceptsAllForMs: number;
  /** Open requests are given up then. */
  givesUpAfterMs: number;
  /** The process closes down then. */
  endsAfterMs: number;
}

// The load balancer probes readiness once a second and stops sending new
// connections after two failed probes.
export const BALANCER_DETECTION_MS = 2500;
// In a shorter stop, the time after this share is left to open requests.
const MAX_ACCEPTING_SHARE = 0.5;
// Time for closing down after the last request, and for delivering the answers
// to requests that were given up and those that waited behind them.
const CLOSING_MS = 400;
const DELIVERY_MS = 300;
// Bounds each of the two in a short stop: requests are not given up before the
// last sixth of the limit.
const MAX_RESERVED_SHARE = 1 / 12;

/** Plans a stop that the platform ends after `stopWithinMs`. */
export function planStop(stopWithinMs: number): StopSchedule {
  const maxReservedMs = stopWithinMs * MAX_RESERVED_SHARE;
  const endsAfterMs = stopWithinMs - Math.min(CLOSING_MS, maxReservedMs);
  return {
    acceptsAllForMs: Math.min(
      BALANCER_DETECTION_MS,
      endsAfterMs * MAX_ACCEPTING_SHARE,
    ),
    givesUpAfterMs: endsAfterMs - Math.min(DELIVERY_MS, maxReservedMs),
    endsAfterMs,
  };
}
