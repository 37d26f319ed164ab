/** Reads the timestamp of a UUIDv7. */

const UUID_V7 =
  /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
/** Hexadecimal digits of the millisecond timestamp. */
const TIME_DIGITS = 12;

/** Unix time in milliseconds; undefined when `text` is no UUIDv7. */
export function parseUuidV7TimeMs(text: string): number | undefined {
  if (!UUID_V7.test(text)) return undefined;
  return parseInt(text.replace('-', '').slice(0, TIME_DIGITS), 16);
}
