/** The team keys of one instance: issued keys and withdrawn ids. */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import {hash, timingSafeEqual} from 'node:crypto';
import type {KeyError, KeyHolder} from './key-store.js';
import type {KeyRecord, KeySet} from './stored-rows.js';
import {parseTeamKey} from './team-key.js';
import {WithdrawnSet} from './withdrawn-set.js';

interface RingEntry {
  record: KeyRecord;
  secretHash: Buffer;
}

// An unknown key id is compared with this, so that it takes the same time as a
// known one with a wrong secret.
const NO_SECRET_HASH = Buffer.alloc(32);

// Shared, because creating an `Err` captures a stack trace, which would make a
// refused key cost many times an accepted one.
const UNKNOWN: Result<KeyHolder, KeyError> = Err({kind: 'unknown'});
const WITHDRAWN: Result<KeyHolder, KeyError> = Err({kind: 'withdrawn'});

export class KeyRing {
  /** Version of the newest key set merged so far; 0 before the first. */
  version = 0;
  readonly withdrawn = WithdrawnSet.create();
  private readonly entries = new Map<string, RingEntry>();

  static create(): KeyRing {
    return new KeyRing();
  }

  /**
   * Adds a key set from the store or a peer, old or new. A known key id keeps
   * its first record. Returns the ids that are withdrawn from now on.
   */
  merge(set: KeySet): string[] {
    for (const record of set.keys) {
      if (this.entries.has(record.keyId)) continue;
      const secretHash = Buffer.from(record.secretHash, 'hex');
      this.entries.set(record.keyId, {record, secretHash});
    }
    this.version = Math.max(this.version, set.version);
    return this.withdrawn.merge(set.withdrawn);
  }

  keySet(): KeySet {
    const keys = [...this.entries.values()].map(entry => entry.record);
    return {version: this.version, keys, withdrawn: this.withdrawn.ids()};
  }

  authenticate(presentedKey: string): Result<KeyHolder, KeyError> {
    const key = parseTeamKey(presentedKey);
    if (!key) return UNKNOWN;
    const entry = this.entries.get(key.keyId);
    const presented = hash('sha256', key.secret, 'buffer');
    const stored = entry?.secretHash ?? NO_SECRET_HASH;
    const matches = timingSafeEqual(presented, stored);
    if (!entry || !matches) return UNKNOWN;
    if (this.withdrawn.has(key.keyId)) return WITHDRAWN;
    return Ok({keyId: key.keyId, teamName: entry.record.teamName});
  }
}
