/**
 * The ids of withdrawn keys. They only accumulate, so sets of different
 * instances are merged by union in any order.
 *
 * Instances compare their sets by digest. Each digest of this set is kept with
 * the number of ids at that time: a peer that sends one of them has at least
 * those ids.
 */
import {createHash} from 'node:crypto';

export class WithdrawnSet {
  /** Insertion position of each id, starting at 1. */
  private readonly positionById = new Map<string, number>();
  private readonly sizeByDigest = new Map<string, number>();
  private readonly subsetDigests = new Set<string>();
  private currentDigest = computeDigest([]);

  static create(): WithdrawnSet {
    const set = new WithdrawnSet();
    set.sizeByDigest.set(set.currentDigest, 0);
    return set;
  }

  get digest(): string {
    return this.currentDigest;
  }

  ids(): string[] {
    return [...this.positionById.keys()];
  }

  has(keyId: string): boolean {
    return this.positionById.has(keyId);
  }

  /** Adds the ids of another set and returns the newly added ones. */
  merge(keyIds: readonly string[]): string[] {
    const added = [...new Set(keyIds)].filter(id => !this.positionById.has(id));
    for (const id of added)
      this.positionById.set(id, this.positionById.size + 1);
    if (added.length > 0) {
      this.currentDigest = computeDigest(this.ids());
      this.sizeByDigest.set(this.currentDigest, this.positionById.size);
    }
    this.subsetDigests.add(computeDigest(keyIds));
    return added;
  }

  /** Whether the set with this digest is a known subset of this one. */
  isKnownSubset(digest: string): boolean {
    return this.sizeByDigest.has(digest) || this.subsetDigests.has(digest);
  }

  /** Whether a peer that sent `digest` certainly has `keyId`. */
  provesContained(digest: string, keyId: string): boolean {
    const position = this.positionById.get(keyId);
    const size = this.sizeByDigest.get(digest);
    return position !== undefined && size !== undefined && size >= position;
  }
}

function computeDigest(keyIds: readonly string[]): string {
  const sorted = [...new Set(keyIds)].sort();
  return createHash('sha256').update(sorted.join('\n')).digest('hex');
}
