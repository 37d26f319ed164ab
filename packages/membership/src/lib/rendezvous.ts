/** Rendezvous hashing: all instances compute the same ranking for a name. */
import {createHash} from 'node:crypto';

/** Returns `ids` ranked for `name`, highest first. */
export function rankByRendezvous(
  name: string,
  ids: readonly string[],
): string[] {
  const scored = ids.map(id => ({
    id,
    score: createHash('sha1').update(`${name}\n${id}`).digest('hex'),
  }));
  scored.sort((a, b) => (a.score < b.score ? 1 : -1));
  return scored.map(entry => entry.id);
}
