/** The team keys of one instance: issued keys and withdrawn ids. */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import {hash, timingSafeEqual} from 'node:crypto';
import type {KeyError, KeyHolder} from './key-store.js';
import type {KeyRecord, KeySet} from './stored-rows.js';
import {parseTeamKey} from './team-key.js';
import {WithdrawnSet} from './withdrawn-set.js';

interface KeyEntry {
  record: KeyRecord;
  secretHash: Buffer;
}

// Compared for an unknown key id, so that it takes the same time as a known id
// with a wrong secret.
const PLACEHOLDER_HASH = Buffer.alloc(32);

// Shared instances: creating an `Err` captures a stack trace, which would make
// rejecting a key many times as expensive as accepting one.
const UNKNOWN_KEY: Result<KeyHolder, KeyError> = Err({kind: 'unknown'});
const WITHDRAWN_KEY: Result<KeyHolder, KeyError> = Err({kind: 'withdrawn'});

export class KeyRing {
  /** Version of the newest key set merged so far; 0 before the first. */
  version = 0;
  readonly withdrawn = WithdrawnSet.create();
  private readonly entries = new Map<string, KeyEntry>();

  static create(): KeyRing {
    return new KeyRing();
  }

  /**
   * Merges a key set of any version from the store or a peer. A known key id
   * keeps its first record. Returns the newly withdrawn ids.
   */
  merge(keySet: KeySet): string[] {
    for (const record of keySet.keys) {
      if (this.entries.has(record.keyId)) continue;
      const secretHash = Buffer.from(record.secretHash, 'hex');
      this.entries.set(record.keyId, {record, secretHash});
    }
    this.version = Math.max(this.version, keySet.version);
    return this.withdrawn.merge(keySet.withdrawn);
  }

  keySet(): KeySet {
    const keys = [...this.entries.values()].map(entry => entry.record);
    return {version: this.version, keys, withdrawn: this.withdrawn.ids()};
  }

  authenticate(presentedKey: string): Result<KeyHolder, KeyError> {
    const key = parseTeamKey(presentedKey);
    if (!key) return UNKNOWN_KEY;
    const entry = this.entries.get(key.keyId);
    const presentedHash = hash('sha256', key.secret, 'buffer');
    const storedHash = entry?.secretHash ?? PLACEHOLDER_HASH;
    const matches = timingSafeEqual(presentedHash, storedHash);
    if (!entry || !matches) return UNKNOWN_KEY;
    if (this.withdrawn.has(key.keyId)) return WITHDRAWN_KEY;
    return Ok({keyId: key.keyId, teamName: entry.record.teamName});
  }
}
