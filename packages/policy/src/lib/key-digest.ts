/** Digests of team keys, so that plain keys are not stored, logged or compared. */
import {createHash} from 'node:crypto';

/** Returns the SHA-256 digest of a key in base64. */
export function digestKey(key: string): string {
  return createHash('sha256').update(key).digest('base64');
}
