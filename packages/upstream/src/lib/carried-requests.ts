/**
 * Remembers the ids of the requests that a connection has carried. Only its id
 * tells which request a response answers, so if a connection carried an id twice,
 * a repetition of the first response could be taken as the second.
 */

// Bounds the memory. A new connection for one request in 500 costs little.
const MAX_REQUESTS = 500;
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

export class CarriedRequests {
  // Hashes, because callers choose the ids and their length. Two ids with the
  // same hash only cost a new connection.
  private readonly hashes = new Set<number>();
  private count = 0;

  private constructor() {}

  static create(): CarriedRequests {
    return new CarriedRequests();
  }

  /** Whether no further request should be added. */
  get isFull(): boolean {
    return this.count >= MAX_REQUESTS;
  }

  add(requestId: string): void {
    this.count += 1;
    this.hashes.add(hashOf(requestId));
  }

  has(requestId: string): boolean {
    return this.hashes.has(hashOf(requestId));
  }
}

/** FNV-1a with 32 bits. */
function hashOf(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash | 0;
}
