/** Errors in an INI text, each told in one line. */

export interface TextError {
  file: string;
  section: string;
  key: string;
  /** What was expected, and what was found where that helps. */
  expected: string;
}

// A wrong value can be a whole binary file; its start shows what it is.
const MAX_MESSAGE_LENGTH = 500;
// eslint-disable-next-line no-control-regex
const CONTROL = /[\u0000-\u001f\u007f-\u009f\u2028\u2029]/g;

/** One line without control characters, whatever the text holds. */
export function formatTextError(error: TextError): string {
  const key = error.key === '' ? '' : ` key "${error.key}"`;
  const place = `${error.file}: section [${error.section}]${key}`;
  const line = `${place}: ${error.expected}`.replace(CONTROL, '?');
  if (line.length <= MAX_MESSAGE_LENGTH) return line;
  return `${line.slice(0, MAX_MESSAGE_LENGTH)}...`;
}
