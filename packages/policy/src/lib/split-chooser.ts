/**
 * Chooses the part of a split route by smooth weighted round-robin, so that the
 * shares are also met over the few requests that one process handles.
 *
 * The initial state is random: if all processes began with the largest part, the
 * fleet would favour it after each restart.
 */
import type {SplitPart} from './traffic-policy.js';

export class SplitChooser {
  private readonly parts: readonly SplitPart[];
  private readonly totalWeight: number;
  private readonly balances: number[];

  private constructor(parts: readonly SplitPart[], random: () => number) {
    const weighted = parts.filter(part => part.weight > 0);
    this.parts = weighted.length > 0 ? weighted : parts;
    this.totalWeight = this.parts.reduce((sum, part) => sum + part.weight, 0);
    this.balances = this.parts.map(() => random() * this.totalWeight);
  }

  static create(
    parts: readonly SplitPart[],
    random: () => number = Math.random,
  ): SplitChooser {
    return new SplitChooser(parts, random);
  }

  /** Returns the service of the next request. */
  next(): string {
    let best = 0;
    for (const [index, part] of this.parts.entries()) {
      this.balances[index]! += part.weight;
      if (this.balances[index]! > this.balances[best]!) best = index;
    }
    this.balances[best]! -= this.totalWeight;
    return this.parts[best]!.service;
  }
}
