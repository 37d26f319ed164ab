/**
 * The configuration version in use at one instance. It only moves to newer
 * versions, whatever the store or the peers offer.
 */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import {createHash} from 'node:crypto';
import type {Configuration} from './configuration-schema.js';
import {parseConfigurationText} from './configuration-text.js';
import type {VersionedText} from './stored-rows.js';
import {formatTextError} from './text-error.js';

export interface OfferError {
  kind: 'not-newer' | 'hash-mismatch' | 'chain-broken' | 'invalid-text';
  message: string;
}

export class VersionChain {
  private installed: VersionedText | undefined;

  static create(): VersionChain {
    return new VersionChain();
  }

  get version(): number {
    return this.installed?.version ?? 0;
  }

  current(): VersionedText | undefined {
    return this.installed;
  }

  /** Takes a version if it is newer, whole and a proper successor. */
  offer(candidate: VersionedText): Result<Configuration, OfferError> {
    const {version, hash, previousHash, text} = candidate;
    if (version <= this.version) {
      return offerError('not-newer', `version ${this.version} is in use`);
    }
    if (createHash('sha256').update(text).digest('hex') !== hash) {
      return offerError('hash-mismatch', `text of version ${version}`);
    }
    const successor = version === this.version + 1;
    if (successor && previousHash !== (this.installed?.hash ?? '')) {
      return offerError('chain-broken', `version ${version} does not follow`);
    }
    const parsed = parseConfigurationText(text, `version ${version}`);
    if (parsed.err) {
      return offerError('invalid-text', formatTextError(parsed.val));
    }
    this.installed = candidate;
    return Ok(parsed.val);
  }
}

function offerError(kind: OfferError['kind'], message: string) {
  return Err({kind, message});
}
