/**
 * Team keys: `fft_<keyId>_<secret>`.
 *
 * Only a hash of the secret is stored. The secret has 192 random bits, so one
 * round of SHA-256 suffices against brute force.
 */
import {createHash, randomBytes} from 'node:crypto';

export interface TeamKey {
  keyId: string;
  secret: string;
}

const KEY_ID_BYTES = 8;
const SECRET_BYTES = 24;
const KEY_PATTERN = /^fft_([0-9a-f]{16})_([0-9a-f]{48})$/;

export function createTeamKey(): TeamKey {
  return {
    keyId: randomBytes(KEY_ID_BYTES).toString('hex'),
    secret: randomBytes(SECRET_BYTES).toString('hex'),
  };
}

/** Parses a presented key; undefined if it is malformed. */
export function parseTeamKey(text: string): TeamKey | undefined {
  const match = KEY_PATTERN.exec(text);
  return match ? {keyId: match[1]!, secret: match[2]!} : undefined;
}

/** SHA-256 of a secret in hexadecimal. */
export function hashSecret(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}
