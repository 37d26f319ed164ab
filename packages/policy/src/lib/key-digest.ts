/** Digests of team keys: keys themselves are not kept, logged or compared. */
import {createHash} from 'node:crypto';

export function keyDigestOf(key: string): string {
  return createHash('sha256').update(key).digest('base64');
}
