/** The team keys as the request path uses them. */
import type {Result} from '@fireflytrack/result';

export interface KeyHolder {
  keyId: string;
  teamName: string;
}

export interface KeyError {
  kind: 'unknown' | 'withdrawn';
}

export interface KeyStore {
  /** Finds the team of a presented key; compares secrets in constant time. */
  authenticate(presentedKey: string): Result<KeyHolder, KeyError>;
  /** Calls `listener` with each key id that is withdrawn from now on. */
  onWithdrawn(listener: (keyId: string) => void): void;
}
