/** Text of other processes in log lines. */

// Enough to tell what it is about.
const DEFAULT_MAX_CHARS = 300;

/** Bounds a text and replaces what terminals and line readers act on. */
export function toLogText(text: string, maxChars = DEFAULT_MAX_CHARS): string {
  return text.slice(0, maxChars).replace(/[\p{Cc}\p{Zl}\p{Zp}]/gu, '?');
}
