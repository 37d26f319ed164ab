/** Parses process settings: an INI text validated with a schema. */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import type {z} from 'zod';
import {parseIni} from './ini-document.js';
import type {TextError} from './text-error.js';

/**
 * Parses a text and validates its sections and keys with `schema`. Returns the
 * first error with its section and key.
 */
export function parseSettingsText<Settings>(
  text: string,
  file: string,
  schema: z.ZodType<Settings>,
): Result<Settings, TextError> {
  const document = parseIni(text, file);
  if (document.err) return document;
  const sections = [...document.val].map(
    ([name, section]) => [name, Object.fromEntries(section)] as const,
  );
  const parsed = schema.safeParse(Object.fromEntries(sections));
  if (parsed.success) return Ok(parsed.data);
  const issue = parsed.error.issues[0];
  const [section = '', key = ''] = (issue?.path ?? []).map(String);
  return Err({file, section, key, expected: issue?.message ?? 'invalid'});
}
