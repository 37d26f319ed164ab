/** Errors in an INI text, each told in one line. */

export interface TextError {
  file: string;
  section: string;
  key: string;
  /** What was expected, and what was found where that helps. */
  expected: string;
}

export function formatTextError(error: TextError): string {
  const key = error.key === '' ? '' : ` key "${error.key}"`;
  return `${error.file}: section [${error.section}]${key}: ${error.expected}`;
}
