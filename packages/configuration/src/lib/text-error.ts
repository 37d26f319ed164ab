/** Errors in an INI text and their one-line format. */

export interface TextError {
  file: string;
  section: string;
  key: string;
  /** What was expected and, where helpful, what was found. */
  expected: string;
}

// A wrong value can be a complete binary file; its start identifies it.
const MAX_MESSAGE_LENGTH = 500;
// eslint-disable-next-line no-control-regex
const CONTROL = /[\u0000-\u001f\u007f-\u009f\u2028\u2029]/g;

/** Formats an error as one line without control characters. */
export function formatTextError(error: TextError): string {
  const key = error.key === '' ? '' : ` key "${error.key}"`;
  const place = `${error.file}: section [${error.section}]${key}`;
  const line = `${place}: ${error.expected}`.replace(CONTROL, '?');
  if (line.length <= MAX_MESSAGE_LENGTH) return line;
  return `${line.slice(0, MAX_MESSAGE_LENGTH)}...`;
}
