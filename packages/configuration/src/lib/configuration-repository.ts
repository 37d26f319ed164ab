/**
 * Reads and changes the stored configuration.
 *
 * The text is first written to the object store under its hash. One atomic batch
 * then updates the head and writes the rows of the change and of the version, so
 * that a reused change id returns the original outcome.
 */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import type {
  ObjectStore,
  PlatformError,
  TableOperation,
  TableService,
} from '@fireflytrack/platform';
import {createHash} from 'node:crypto';
import {sleep} from '@fireflytrack/time';
import type {ConfigurationError} from './configuration-error.js';
import {parseConfigurationText} from './configuration-text.js';
import {HEAD_KEY, changeKey, headSchema, versionKey} from './stored-rows.js';
import type {ConfigurationHead} from './stored-rows.js';
import {
  RESOLVE_DELAYS_MS,
  toReadError,
  readStoredRow,
  toWriteError,
} from './stored-row-reader.js';
import type {StoredRow} from './stored-row-reader.js';
import {formatTextError} from './text-error.js';

export interface ChangeRequest {
  text: string;
  /** Version that the change replaces; 0 for the first one. */
  baseVersion: number;
  /** A retry with the same id returns the original outcome. */
  changeId: string;
}

type ApplyResult = Result<ConfigurationHead, ConfigurationError>;

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
    const head = await this.readHeadRow();
    return head.map(row => row.value);
  }

  async readText(
    objectKey: string,
  ): Promise<Result<string | undefined, PlatformError>> {
    const bytes = await this.objects.get(objectKey);
    return bytes.map(found => found && Buffer.from(found).toString('utf8'));
  }

  /** Returns the version that a change id created, if any. */
  async readChange(
    changeId: string,
  ): Promise<Result<ConfigurationHead | undefined, PlatformError>> {
    const key = changeKey(changeId);
    const row = await readStoredRow(this.table, key, headSchema);
    return row.map(found => found.value);
  }

  async readVersion(
    version: number,
  ): Promise<Result<ConfigurationHead | undefined, PlatformError>> {
    const key = versionKey(version);
    const row = await readStoredRow(this.table, key, headSchema);
    return row.map(found => found.value);
  }

  /** Returns up to `limit` versions, newest first. */
  async readHistory(
    limit: number,
  ): Promise<Result<ConfigurationHead[], PlatformError>> {
    const head = await this.readHead();
    if (head.err) return head;
    const newest = head.val?.version ?? 0;
    const count = Math.min(limit, newest);
    const rows = await Promise.all(
      Array.from({length: count}, (_, index) =>
        this.readVersion(newest - index),
      ),
    );
    const versions: ConfigurationHead[] = [];
    for (const row of rows) {
      if (row.err) return row;
      if (row.val) versions.push(row.val);
    }
    return Ok(versions);
  }

  async apply(change: ChangeRequest): Promise<ApplyResult> {
    const parsed = parseConfigurationText(change.text, 'request');
    if (parsed.err) {
      return Err({kind: 'invalid', message: formatTextError(parsed.val)});
    }
    const head = await this.readHeadRow();
    if (head.err) return Err(toReadError(head.val));
    const earlier = await this.readChange(change.changeId);
    if (earlier.err) return Err(toReadError(earlier.val));
    if (earlier.val) return toOriginalOutcome(change, earlier.val);
    if ((head.val.value?.version ?? 0) !== change.baseVersion) {
      return conflictError(head.val.value);
    }
    return this.write(change, head.val);
  }

  private readHeadRow() {
    return readStoredRow(this.table, HEAD_KEY, headSchema);
  }

  private async write(
    change: ChangeRequest,
    head: StoredRow<ConfigurationHead>,
  ): Promise<ApplyResult> {
    const hash = hashText(change.text);
    const objectKey = `config/${hash}`;
    const stored = await this.objects.put(objectKey, Buffer.from(change.text));
    if (stored.err) return Err(toReadError(stored.val));
    const next: ConfigurationHead = {
      version: change.baseVersion + 1,
      changeId: change.changeId,
      hash,
      previousHash: head.value?.hash ?? '',
      objectKey,
    };
    const results = await this.table.batch(
      [
        buildPut(HEAD_KEY, head.rowVersion, next),
        buildPut(changeKey(change.changeId), 0, next),
        buildPut(versionKey(next.version), 0, next),
      ],
      {atomic: true},
    );
    if (results.ok && results.val.every(result => result.applied)) {
      return Ok(next);
    }
    if (results.err && results.val.kind === 'unavailable') {
      return Err(toReadError(results.val));
    }
    return this.resolveOutcome(change, head.rowVersion);
  }

  /**
   * Determines whether a batch took effect. The head is read before the change
   * row: if the head has changed and the change row is missing, the batch can no
   * longer take effect.
   */
  private async resolveOutcome(
    change: ChangeRequest,
    headRowVersion: number,
  ): Promise<ApplyResult> {
    let failure: ConfigurationError = {
      kind: 'outcome-unknown',
      message: 'no answer; ask again with the same change id',
    };
    for (const delayMs of RESOLVE_DELAYS_MS) {
      await sleep(delayMs);
      const head = await this.readHeadRow();
      const recorded = await this.readChange(change.changeId);
      if (head.err || recorded.err) {
        const error = head.err ? head.val : (recorded.val as PlatformError);
        failure = toWriteError({...error, kind: 'outcome-unknown'});
        continue;
      }
      if (recorded.val) return toOriginalOutcome(change, recorded.val);
      if (head.val.rowVersion !== headRowVersion) {
        return conflictError(head.val.value);
      }
    }
    return Err(failure);
  }
}

function buildPut(
  key: string,
  ifVersion: number,
  value: unknown,
): TableOperation {
  return {kind: 'put', key, ifVersion, value};
}

function hashText(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

function toOriginalOutcome(
  change: ChangeRequest,
  original: ConfigurationHead,
): ApplyResult {
  const isSameChange =
    original.hash === hashText(change.text) &&
    original.version === change.baseVersion + 1;
  if (isSameChange) return Ok(original);
  const message = `change id was used for another change (version ${original.version})`;
  return Err({kind: 'invalid', message});
}

function conflictError(head: ConfigurationHead | undefined): ApplyResult {
  const currentVersion = head?.version ?? 0;
  const message = `the current version is ${currentVersion}`;
  return Err({kind: 'conflict', currentVersion, message});
}
