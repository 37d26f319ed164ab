/** Reads and validates text files; each failure is a one-line CommandFailure. */
import {
  formatTextError,
  parseConfigurationText,
} from '@fireflytrack/configuration';
import {parseGatewaySettings} from '@fireflytrack/gateway/settings';
import {parsePolicyText} from '@fireflytrack/policy';
import {readFileSync, statSync} from 'node:fs';
import {CommandFailure} from './command-line.js';
import {EXIT_CODES} from './exit-codes.js';

// The administration API accepts bodies of 16 MiB; JSON escapes use the rest.
const MAX_FILE_BYTES = 12 * 1024 * 1024;

/** Returns the text of a valid configuration file. */
export function readConfigurationFile(file: string): string {
  const text = readTextFile(file);
  const parsed = parseConfigurationText(text, file);
  if (parsed.err) {
    throw new CommandFailure(formatTextError(parsed.val), EXIT_CODES.invalid);
  }
  return text;
}

// A section that occurs only in this kind of file.
const POLICY_SECTION = /^\s*\[policy\]/m;
const SETTINGS_SECTION = /^\s*\[headers\]/m;

/** Validates a file of any kind, which its sections identify. */
export function validateFile(file: string): void {
  const text = readTextFile(file);
  const parsed = POLICY_SECTION.test(text)
    ? parsePolicyText(text, file)
    : SETTINGS_SECTION.test(text)
      ? parseGatewaySettings(text, file)
      : parseConfigurationText(text, file);
  if (parsed.ok) return;
  throw new CommandFailure(formatTextError(parsed.val), EXIT_CODES.invalid);
}

function readTextFile(file: string): string {
  try {
    // Check before opening, because opening a named pipe blocks.
    const stats = statSync(file);
    if (!stats.isFile()) throw invalidFile(file, 'a regular file');
    if (stats.size > MAX_FILE_BYTES) {
      throw invalidFile(file, `at most ${MAX_FILE_BYTES} bytes`);
    }
    return decodeUtf8(file, readFileSync(file));
  } catch (error) {
    if (error instanceof CommandFailure) throw error;
    throw invalidFile(file, 'a readable file');
  }
}

function decodeUtf8(file: string, bytes: Buffer): string {
  try {
    return new TextDecoder('utf-8', {fatal: true}).decode(bytes);
  } catch {
    throw invalidFile(file, 'UTF-8 text');
  }
}

function invalidFile(file: string, expected: string): CommandFailure {
  const error = {file, section: '', key: '', expected: `expected ${expected}`};
  return new CommandFailure(formatTextError(error), EXIT_CODES.invalid);
}
