/**
 * Reads the keys of one INI section with schemas and rejects unknown keys.
 *
 * Failures are thrown while parsing; the parse function turns them into a
 * `TextError` result.
 */
import type {z} from 'zod';
import type {IniSection} from './ini-document.js';
import type {TextError} from './text-error.js';

class SectionError extends Error {
  constructor(readonly textError: TextError) {
    super(textError.expected);
  }
}

export class SectionReader {
  static readonly Failure = SectionError;
  private readonly knownKeys = new Set<string>();

  private constructor(
    private readonly file: string,
    private readonly name: string,
    private readonly section: IniSection,
  ) {}

  static create(
    file: string,
    name: string,
    section: IniSection,
  ): SectionReader {
    return new SectionReader(file, name, section);
  }

  required<T>(key: string, schema: z.ZodType<T>, expected: string): T {
    this.knownKeys.add(key);
    const text = this.section.get(key);
    if (text === undefined || text === '') {
      return this.fail(key, `missing, expected ${expected}`);
    }
    const parsed = schema.safeParse(text);
    if (parsed.success) return parsed.data;
    return this.fail(key, `expected ${expected}, found "${text}"`);
  }

  optional<T, D>(
    key: string,
    schema: z.ZodType<T>,
    expected: string,
    fallback: D,
  ): T | D {
    if (this.section.has(key)) return this.required(key, schema, expected);
    this.knownKeys.add(key);
    return fallback;
  }

  /** Rejects any key that was not read. Call it after the last key is read. */
  finish(): void {
    for (const key of this.section.keys()) {
      if (this.knownKeys.has(key)) continue;
      const expected = [...this.knownKeys].join(', ');
      this.fail(key, `unknown key, expected one of ${expected}`);
    }
  }

  fail(key: string, expected: string): never {
    const {file, name: section} = this;
    throw new SectionError({file, section, key, expected});
  }
}
