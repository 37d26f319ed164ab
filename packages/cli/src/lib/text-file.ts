/** Reads and checks a configuration file; every failure is one line. */
import {
  formatTextError,
  parseConfigurationText,
} from '@fireflytrack/configuration';
import {parseGatewaySettings} from '@fireflytrack/gateway/settings';
import {parsePolicyText} from '@fireflytrack/policy';
import {readFileSync, statSync} from 'node:fs';
import {CommandFailure} from './command-line.js';
import {EXIT_CODES} from './exit-codes.js';

// The administration API takes bodies of 16 MiB; JSON escapes need the rest.
const MAX_FILE_BYTES = 12 * 1024 * 1024;

export function readConfigurationFile(file: string): string {
  const text = readFile(file);
  const parsed = parseConfigurationText(text, file);
  if (parsed.err) {
    throw new CommandFailure(formatTextError(parsed.val), EXIT_CODES.invalid);
  }
  return text;
}

// The first section that only one kind of text has.
const POLICY_SECTION = /^\s*\[policy\]/m;
const SETTINGS_SECTION = /^\s*\[headers\]/m;

/** Checks a text of any kind by the sections that it has. */
export function checkFile(file: string): void {
  const text = readFile(file);
  const parsed = POLICY_SECTION.test(text)
    ? parsePolicyText(text, file)
    : SETTINGS_SECTION.test(text)
      ? parseGatewaySettings(text, file)
      : parseConfigurationText(text, file);
  if (parsed.ok) return;
  throw new CommandFailure(formatTextError(parsed.val), EXIT_CODES.invalid);
}

function readFile(file: string): string {
  try {
    // Checked before opening, because opening a named pipe blocks.
    const found = statSync(file);
    if (!found.isFile()) throw unreadable(file, 'a regular file');
    if (found.size > MAX_FILE_BYTES) {
      throw unreadable(file, `at most ${MAX_FILE_BYTES} bytes`);
    }
    return decode(file, readFileSync(file));
  } catch (error) {
    if (error instanceof CommandFailure) throw error;
    throw unreadable(file, 'a readable file');
  }
}

function decode(file: string, bytes: Buffer): string {
  try {
    return new TextDecoder('utf-8', {fatal: true}).decode(bytes);
  } catch {
    throw unreadable(file, 'UTF-8 text');
  }
}

function unreadable(file: string, expected: string): CommandFailure {
  const error = {file, section: '', key: '', expected: `expected ${expected}`};
  return new CommandFailure(formatTextError(error), EXIT_CODES.invalid);
}
