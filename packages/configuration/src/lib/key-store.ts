/** Team key authentication for the request path. */
import type {Result} from '@fireflytrack/result';

export interface KeyHolder {
  keyId: string;
  teamName: string;
}

export interface KeyError {
  kind: 'unknown' | 'withdrawn';
}

export interface KeyStore {
  /** Finds the team of a key; compares secrets in constant time. */
  authenticate(presentedKey: string): Result<KeyHolder, KeyError>;
  /** Calls `listener` with each newly withdrawn key id. */
  onWithdrawn(listener: (keyId: string) => void): void;
}
