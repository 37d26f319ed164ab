/**
 * The ledger row as last seen by this instance, and the parts that the instance
 * may use.
 *
 * While an owner runs, only the owner itself lowers its parts, so an old row is
 * safe to use until the owner decides to lower them. From then on the lowered
 * value applies until a row is read that is newer than the version on which the
 * write was based: a write without a response may still take effect later, even
 * if a read returns the old row.
 */
import {EMPTY_LEDGER, getOwnedParts} from './ledger-row.js';
import type {LedgerRow} from './ledger-row.js';

export class ShareView {
  private knownVersion = 0;
  private knownRow: LedgerRow = EMPTY_LEDGER;
  private partsLimit: number | undefined;
  private undecidedVersion: number | undefined;
  private closed = false;

  private constructor(
    private readonly instanceId: string,
    private readonly onParts: (parts: number) => void,
  ) {}

  /** `onParts` is called synchronously with the usable parts on each change. */
  static create(
    instanceId: string,
    onParts: (parts: number) => void,
  ): ShareView {
    return new ShareView(instanceId, onParts);
  }

  get version(): number {
    return this.knownVersion;
  }

  get row(): LedgerRow {
    return this.knownRow;
  }

  /**
   * Version on which a write without a known outcome was based; undefined if
   * there is no such write.
   */
  get undecidedWriteVersion(): number | undefined {
    return this.undecidedVersion;
  }

  usableParts(): number {
    if (this.closed) return 0;
    const owned = getOwnedParts(this.knownRow, this.instanceId);
    return Math.min(owned, this.partsLimit ?? owned);
  }

  /** Applies a row that was read or written; older rows have no effect. */
  observe(version: number, row: LedgerRow): void {
    if (version <= this.knownVersion) return;
    this.knownVersion = version;
    this.knownRow = row;
    const decided =
      this.undecidedVersion !== undefined && version > this.undecidedVersion;
    if (decided) this.settleWrite();
    else this.onParts(this.usableParts());
  }

  /** Limits the usable parts to `parts`; to be called before the write. */
  lowerTo(parts: number): void {
    this.partsLimit = parts;
    this.onParts(this.usableParts());
  }

  /** Removes the limit, because the outcome of the write is known. */
  settleWrite(): void {
    this.partsLimit = undefined;
    this.undecidedVersion = undefined;
    this.onParts(this.usableParts());
  }

  /** Records that a write based on the known version may still take effect. */
  markWriteUndecided(): void {
    this.undecidedVersion = this.knownVersion;
  }

  /** Sets the usable parts to 0 permanently, regardless of later rows. */
  close(): void {
    this.closed = true;
    this.onParts(0);
  }
}
