/**
 * The configuration version in use at one instance. Only newer versions are
 * installed, whatever the store or the peers send.
 */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import {createHash} from 'node:crypto';
import type {Configuration} from './configuration-schema.js';
import {parseConfigurationText} from './configuration-text.js';
import type {VersionedText} from './stored-rows.js';
import {formatTextError} from './text-error.js';

export interface InstallError {
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

  /**
   * Installs a version if it is newer, matches its hash and is valid. The next
   * version must also refer to the hash of the current one.
   */
  install(candidate: VersionedText): Result<Configuration, InstallError> {
    const {version, hash, previousHash, text} = candidate;
    if (version <= this.version) {
      return installError('not-newer', `version ${this.version} is in use`);
    }
    if (createHash('sha256').update(text).digest('hex') !== hash) {
      return installError('hash-mismatch', `text of version ${version}`);
    }
    const isNextVersion = version === this.version + 1;
    if (isNextVersion && previousHash !== (this.installed?.hash ?? '')) {
      return installError('chain-broken', `version ${version} does not follow`);
    }
    const parsed = parseConfigurationText(text, `version ${version}`);
    if (parsed.err) {
      return installError('invalid-text', formatTextError(parsed.val));
    }
    this.installed = candidate;
    return Ok(parsed.val);
  }
}

function installError(kind: InstallError['kind'], message: string) {
  return Err({kind, message});
}
