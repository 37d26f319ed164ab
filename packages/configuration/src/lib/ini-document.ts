/**
 * Parses INI text into sections of string pairs with the `ini` package.
 *
 * `ini` merges duplicate sections, keeps the last of duplicate keys and nests
 * dotted section names. Therefore sections and keys are split here, duplicates
 * are rejected, and `ini` parses only single lines.
 */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import ini from 'ini';
import type {TextError} from './text-error.js';

/** Values of one section by key. */
export type IniSection = ReadonlyMap<string, string>;
/** Sections by name, in the order of the text. */
export type IniDocument = ReadonlyMap<string, IniSection>;

const SECTION_LINE = /^\[([A-Za-z][A-Za-z0-9._-]*)\]$/;
const PAIR_LINE = /^([a-z][a-z0-9_]*)\s*=(.*)$/;

export function parseIni(
  text: string,
  file: string,
): Result<IniDocument, TextError> {
  const sections = new Map<string, Map<string, string>>();
  let sectionName = '';
  for (const [index, rawLine] of text.split(/\r?\n/).entries()) {
    const line = rawLine.trim();
    if (line === '' || line.startsWith(';') || line.startsWith('#')) continue;
    const fail = (key: string, expected: string) =>
      Err({
        file,
        section: sectionName,
        key,
        expected: `${expected} (line ${index + 1})`,
      });
    const header = SECTION_LINE.exec(line);
    if (header) {
      sectionName = header[1]!;
      if (sections.has(sectionName))
        return fail('', 'expected each section once');
      sections.set(sectionName, new Map());
      continue;
    }
    const pair = PAIR_LINE.exec(line);
    if (!pair) return fail('', 'expected "[section]" or "key = value"');
    const section = sections.get(sectionName);
    if (!section) return fail(pair[1]!, 'expected a section header first');
    if (section.has(pair[1]!)) return fail(pair[1]!, 'expected each key once');
    section.set(pair[1]!, parseValue(line, pair[1]!));
  }
  return Ok(sections);
}

function parseValue(line: string, key: string): string {
  return String(ini.parse(line)[key] ?? '');
}
