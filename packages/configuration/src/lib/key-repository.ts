/**
 * Reads and changes the stored key set.
 *
 * Every change is a compare-and-set of one row that is retried after a conflict.
 * Both kinds of change are safe to retry: the id of an issued key is derived from
 * its change id, and withdrawals only accumulate.
 */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import type {PlatformError, TableService} from '@fireflytrack/platform';
import {createHash} from 'node:crypto';
import {sleep} from '@fireflytrack/time';
import type {ConfigurationError} from './configuration-error.js';
import {KEY_SET_KEY, keySetSchema} from './stored-rows.js';
import type {KeyRecord, KeySet} from './stored-rows.js';
import {
  RESOLVE_DELAYS_MS,
  toReadError,
  readStoredRow,
  toWriteError,
} from './stored-row-reader.js';
import {createTeamKey, hashSecret} from './team-key.js';

export interface IssuedKey {
  keyId: string;
  /** The only plaintext copy of the key. */
  key: string;
  /** Version of the key set that contains the key. */
  keySetVersion: number;
}

type KeySetUpdate = (keySet: KeySet) => Result<KeySet, ConfigurationError>;

const EMPTY_KEY_SET: KeySet = {version: 0, keys: [], withdrawn: []};
const KEY_ID_LENGTH = 16;
// Far more conflicts than concurrent operators can realistically cause.
const MAX_ATTEMPTS = 50;

export class KeyRepository {
  private constructor(private readonly table: TableService) {}

  static create(table: TableService): KeyRepository {
    return new KeyRepository(table);
  }

  async read(): Promise<Result<KeySet, PlatformError>> {
    const row = await readStoredRow(this.table, KEY_SET_KEY, keySetSchema);
    return row.map(found => found.value ?? EMPTY_KEY_SET);
  }

  async issue(
    teamName: string,
    changeId: string,
  ): Promise<Result<IssuedKey, ConfigurationError>> {
    const {secret} = createTeamKey();
    const keyId = deriveKeyId(changeId);
    const record: KeyRecord = {keyId, teamName, secretHash: hashSecret(secret)};
    const written = await this.updateKeySet(keySet => {
      const found = keySet.keys.find(key => key.keyId === keyId);
      if (found?.secretHash === record.secretHash) return Ok(keySet);
      if (found) return Err(alreadyIssuedError(keyId));
      return Ok({...keySet, keys: [...keySet.keys, record]});
    });
    return written.map(keySet => ({
      keyId,
      key: `fft_${keyId}_${secret}`,
      keySetVersion: keySet.version,
    }));
  }

  /** Adds withdrawn ids and returns the resulting key set. */
  async withdraw(
    keyIds: readonly string[],
  ): Promise<Result<KeySet, ConfigurationError>> {
    return this.updateKeySet(keySet => {
      const added = keyIds.filter(id => !keySet.withdrawn.includes(id));
      if (added.length === 0) return Ok(keySet);
      return Ok({...keySet, withdrawn: [...keySet.withdrawn, ...added]});
    });
  }

  private async updateKeySet(
    update: KeySetUpdate,
  ): Promise<Result<KeySet, ConfigurationError>> {
    let unknownOutcomes = 0;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const row = await readStoredRow(this.table, KEY_SET_KEY, keySetSchema);
      if (row.err) {
        if (unknownOutcomes === 0) return Err(toReadError(row.val));
        return Err(toWriteError({...row.val, kind: 'outcome-unknown'}));
      }
      const before = row.val.value ?? EMPTY_KEY_SET;
      const after = update(before);
      // Unchanged: an earlier attempt took effect, or there is nothing to do.
      if (after.err || after.val === before) return after;
      const value = {...after.val, version: before.version + 1};
      const ifVersion = row.val.rowVersion;
      const results = await this.table.batch(
        [{kind: 'put', key: KEY_SET_KEY, ifVersion, value}],
        {atomic: true},
      );
      if (results.ok && results.val[0]?.applied) return Ok(value);
      if (results.ok) continue;
      if (results.val.kind === 'unavailable') {
        return Err(toReadError(results.val));
      }
      const delayMs = RESOLVE_DELAYS_MS[unknownOutcomes];
      if (delayMs === undefined) return Err(toWriteError(results.val));
      unknownOutcomes += 1;
      await sleep(delayMs);
    }
    const message = 'too many concurrent changes';
    return Err({kind: 'store-unavailable', message});
  }
}

function deriveKeyId(changeId: string): string {
  const digest = createHash('sha256').update(`issue:${changeId}`);
  return digest.digest('hex').slice(0, KEY_ID_LENGTH);
}

function alreadyIssuedError(keyId: string): ConfigurationError {
  const message =
    `the change id was used: key ${keyId} was issued and shown once; ` +
    'withdraw it and issue another';
  return {kind: 'invalid', message};
}
