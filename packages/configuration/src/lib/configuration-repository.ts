/**
 * Reads and changes the stored configuration and key set.
 *
 * A text goes to the object store under its hash first; one atomic batch then
 * moves the head and records the change id, so a repeated change id gives the
 * first outcome.
 */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import type {
  ObjectStore,
  PlatformError,
  TableRow,
  TableService,
} from '@fireflytrack/platform';
import {createHash} from 'node:crypto';
import type {ConfigurationError} from './configuration-error.js';
import {parseConfigurationText} from './configuration-text.js';
import {HEAD_KEY, KEYS_KEY, headSchema, keysRowSchema} from './stored-rows.js';
import type {ConfigurationHead, KeyRecord} from './stored-rows.js';
import {formatTextError} from './text-error.js';
import {createTeamKey, hashSecret} from './team-key.js';

export interface ApplyChange {
  text: string;
  baseVersion: number;
  changeId: string;
}

export interface StoredText {
  head: ConfigurationHead;
  text: string;
}

export class ConfigurationRepository {
  private constructor(
    private readonly table: TableService,
    private readonly objects: ObjectStore,
  ) {}

  static create(
    table: TableService,
    objects: ObjectStore,
  ): ConfigurationRepository {
    return new ConfigurationRepository(table, objects);
  }

  async readHead(): Promise<
    Result<ConfigurationHead | undefined, PlatformError>
  > {
    const row = await this.table.get(HEAD_KEY);
    return row.map(found => found && headSchema.parse(found.value));
  }

  async readText(
    objectKey: string,
  ): Promise<Result<string | undefined, PlatformError>> {
    const bytes = await this.objects.get(objectKey);
    return bytes.map(found => found && Buffer.from(found).toString('utf8'));
  }

  async apply(
    change: ApplyChange,
  ): Promise<Result<number, ConfigurationError>> {
    const parsed = parseConfigurationText(change.text, 'request');
    if (parsed.err) {
      return Err({kind: 'invalid', message: formatTextError(parsed.val)});
    }
    const row = await this.table.get(HEAD_KEY);
    if (row.err) return Err(readFailure(row.val));
    const head = row.val && headSchema.parse(row.val.value);
    const currentVersion = head?.version ?? 0;
    if (currentVersion !== change.baseVersion) {
      const message = `version ${currentVersion} is in force`;
      return Err({kind: 'conflict', currentVersion, message});
    }
    return this.writeHead(change, row.val, head);
  }

  async readKeys(): Promise<Result<KeyRecord[], PlatformError>> {
    const row = await this.table.get(KEYS_KEY);
    return row.map(found => keysOf(found));
  }

  /** Issues a key; the returned text is the only copy of the secret. */
  async issueKey(
    teamName: string,
  ): Promise<Result<string, ConfigurationError>> {
    const key = createTeamKey();
    const record: KeyRecord = {
      keyId: key.keyId,
      teamName,
      secretHash: hashSecret(key.secret),
      withdrawn: false,
    };
    const written = await this.changeKeys(keys => [...keys, record]);
    return written.map(() => `fft_${key.keyId}_${key.secret}`);
  }

  async withdrawKey(keyId: string): Promise<Result<void, ConfigurationError>> {
    return this.changeKeys(keys =>
      keys.map(key => (key.keyId === keyId ? {...key, withdrawn: true} : key)),
    );
  }

  private async writeHead(
    change: ApplyChange,
    row: TableRow | undefined,
    head: ConfigurationHead | undefined,
  ): Promise<Result<number, ConfigurationError>> {
    const hash = createHash('sha256').update(change.text).digest('hex');
    const objectKey = `config/${hash}`;
    const stored = await this.objects.put(objectKey, Buffer.from(change.text));
    if (stored.err) return Err(readFailure(stored.val));
    const next: ConfigurationHead = {
      version: change.baseVersion + 1,
      changeId: change.changeId,
      hash,
      previousHash: head?.hash ?? '',
      objectKey,
    };
    const operation = {
      kind: 'put' as const,
      key: HEAD_KEY,
      ifVersion: row?.version ?? 0,
      value: next,
    };
    const results = await this.table.batch([operation], {atomic: true});
    if (results.err) return Err(writeFailure(results.val));
    const result = results.val[0]!;
    if (result.applied) return Ok(next.version);
    const current = result.current && headSchema.parse(result.current.value);
    const currentVersion = current?.version ?? 0;
    const message = `version ${currentVersion} is in force`;
    return Err({kind: 'conflict', currentVersion, message});
  }

  private async changeKeys(
    change: (keys: KeyRecord[]) => KeyRecord[],
  ): Promise<Result<void, ConfigurationError>> {
    for (;;) {
      const row = await this.table.get(KEYS_KEY);
      if (row.err) return Err(readFailure(row.val));
      const operation = {
        kind: 'put' as const,
        key: KEYS_KEY,
        ifVersion: row.val?.version ?? 0,
        value: {keys: change(keysOf(row.val))},
      };
      const results = await this.table.batch([operation], {atomic: true});
      if (results.err) return Err(writeFailure(results.val));
      if (results.val[0]!.applied) return Ok(undefined);
    }
  }
}

function keysOf(row: TableRow | undefined): KeyRecord[] {
  return row ? keysRowSchema.parse(row.value).keys : [];
}

function readFailure(error: PlatformError): ConfigurationError {
  return {kind: 'store-unavailable', message: error.message};
}

function writeFailure(error: PlatformError): ConfigurationError {
  if (error.kind === 'unavailable') return readFailure(error);
  return {kind: 'outcome-unknown', message: error.message};
}
