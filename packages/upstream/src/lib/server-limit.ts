/**
 * Reads the limit that a backend server names in a response: the requests per
 * second that it accepts from all instances together.
 */

export type LimitReading =
  | {kind: 'absent'}
  | {kind: 'named'; requestsPerSecond: number}
  /** The header is present, but its value is not a usable number. */
  | {kind: 'unreadable'; value: string};

// A server that names a lower limit, or 0, still gets a request now and then:
// only a response shows that the limit has ended.
const MIN_REQUESTS_PER_SECOND = 0.1;
// Larger values are no restriction for one server.
const MAX_REQUESTS_PER_SECOND = 1_000_000;
const DECIMAL_NUMBER = /^\d{1,20}(\.\d{1,20})?$/;
const MAX_LOGGED_CHARACTERS = 40;

/**
 * Interprets the header's value. Of several values in one response the lowest
 * readable one counts.
 */
export function readServerLimit(
  value: string | string[] | undefined,
): LimitReading {
  if (value === undefined) return {kind: 'absent'};
  const values = (Array.isArray(value) ? value : [value]).map(text =>
    text.trim(),
  );
  const numbers = values
    .filter(text => DECIMAL_NUMBER.test(text))
    .map(text => Number(text));
  if (numbers.length === 0) {
    const text = values.join(', ').slice(0, MAX_LOGGED_CHARACTERS);
    return {kind: 'unreadable', value: text};
  }
  const requestsPerSecond = Math.min(
    MAX_REQUESTS_PER_SECOND,
    Math.max(MIN_REQUESTS_PER_SECOND, Math.min(...numbers)),
  );
  return {kind: 'named', requestsPerSecond};
}
