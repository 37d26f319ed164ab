/**
 * The ids of withdrawn keys. They only accumulate, so sets of different
 * instances are merged by union in any order.
 *
 * Instances compare their sets by digest. Each own digest is kept with the
 * number of ids at that time: a peer that shows one of them holds at least
 * those ids.
 */
import {createHash} from 'node:crypto';

export class WithdrawnSet {
  /** Position at which each id was added, from 1. */
  private readonly positions = new Map<string, number>();
  private readonly ownDigests = new Map<string, number>();
  private readonly coveredDigests = new Set<string>();
  private currentDigest = digestOf([]);

  static create(): WithdrawnSet {
    const set = new WithdrawnSet();
    set.ownDigests.set(set.currentDigest, 0);
    return set;
  }

  get digest(): string {
    return this.currentDigest;
  }

  ids(): string[] {
    return [...this.positions.keys()];
  }

  has(keyId: string): boolean {
    return this.positions.has(keyId);
  }

  /** Adds the ids of another set and returns those that are new here. */
  merge(keyIds: readonly string[]): string[] {
    const added = [...new Set(keyIds)].filter(id => !this.positions.has(id));
    for (const id of added) this.positions.set(id, this.positions.size + 1);
    if (added.length > 0) {
      this.currentDigest = digestOf(this.ids());
      this.ownDigests.set(this.currentDigest, this.positions.size);
    }
    this.coveredDigests.add(digestOf(keyIds));
    return added;
  }

  /** Whether the set with this digest is known to be part of this one. */
  covers(digest: string): boolean {
    return this.ownDigests.has(digest) || this.coveredDigests.has(digest);
  }

  /** Whether a peer that shows `digest` certainly holds `keyId`. */
  provesHeld(digest: string, keyId: string): boolean {
    const position = this.positions.get(keyId);
    const held = this.ownDigests.get(digest);
    return position !== undefined && held !== undefined && held >= position;
  }
}

function digestOf(keyIds: readonly string[]): string {
  const sorted = [...new Set(keyIds)].sort();
  return createHash('sha256').update(sorted.join('\n')).digest('hex');
}
