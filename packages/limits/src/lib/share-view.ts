/**
 * What this instance knows of the ledger row, and the parts it may use.
 *
 * Only an owner lowers its own parts, so an old row is safe to use until the
 * owner itself decides to lower. After that decision the lowered value applies
 * until a row newer than the version that the write was based on is read: a
 * write without a response may still take effect while the row looks old.
 */
import {EMPTY_LEDGER, getOwnedParts} from './ledger-row.js';
import type {LedgerRow} from './ledger-row.js';

export class ShareView {
  private knownVersion = 0;
  private knownRow: LedgerRow = EMPTY_LEDGER;
  private loweredToParts: number | undefined;
  private undecidedVersion: number | undefined;
  private closed = false;

  private constructor(
    private readonly instanceId: string,
    private readonly onParts: (parts: number) => void,
  ) {}

  /** `onParts` is called synchronously with the usable parts at each change. */
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

  /** Version that a pending write without a response was based on, if any. */
  get undecided(): number | undefined {
    return this.undecidedVersion;
  }

  usableParts(): number {
    if (this.closed) return 0;
    const owned = getOwnedParts(this.knownRow, this.instanceId);
    return Math.min(owned, this.loweredToParts ?? owned);
  }

  /** Takes a row that was read or written; an older one has no effect. */
  observe(version: number, row: LedgerRow): void {
    if (version <= this.knownVersion) return;
    this.knownVersion = version;
    this.knownRow = row;
    const decided =
      this.undecidedVersion !== undefined && version > this.undecidedVersion;
    if (decided) this.settleWrite();
    else this.onParts(this.usableParts());
  }

  /** Uses at most `parts` from now on; call before the write. */
  lowerTo(parts: number): void {
    this.loweredToParts = parts;
    this.onParts(this.usableParts());
  }

  /**
   * Ends the lowering: its write definitely took effect or definitely did not.
   */
  settleWrite(): void {
    this.loweredToParts = undefined;
    this.undecidedVersion = undefined;
    this.onParts(this.usableParts());
  }

  /** A write based on the known version may still take effect. */
  markUndecided(): void {
    this.undecidedVersion = this.knownVersion;
  }

  /** Uses nothing any more, whatever later rows say. */
  close(): void {
    this.closed = true;
    this.onParts(0);
  }
}
