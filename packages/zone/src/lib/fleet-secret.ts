/**
 * The secret shared by all instances of a fleet; the first instance creates it.
 */
import type {TableRow, TableService} from '@fireflytrack/platform';
import {randomBytes} from 'node:crypto';
import {FLEET_SECRET_KEY, findRowVersion} from './leader-row.js';

const SECRET_BYTES = 32;

// Instances write 44 characters.
const MAX_SECRET_CHARS = 200;

/** Returns the fleet secret in `rows`, or undefined if none can be used. */
export function findFleetSecret(rows: readonly TableRow[]): string | undefined {
  const value = rows.find(row => row.key === FLEET_SECRET_KEY)?.value;
  if (typeof value !== 'string' || value.length > MAX_SECRET_CHARS) {
    return undefined;
  }
  return value === '' ? undefined : value;
}

/**
 * Stores a new secret in place of the one in `rows`, which cannot be used.
 * Callers read the table again to learn which secret is in use.
 */
export async function storeNewFleetSecret(
  table: TableService,
  rows: readonly TableRow[],
): Promise<void> {
  const key = FLEET_SECRET_KEY;
  const ifVersion = findRowVersion(rows, key);
  const value = randomBytes(SECRET_BYTES).toString('base64');
  await table.batch([{kind: 'put', key, ifVersion, value}], {atomic: true});
}

export interface FleetSecretKeeperOptions {
  table: TableService;
  /** The secret that this instance uses. */
  secret: string;
  /** Called when the table holds another secret, which has to be used. */
  onReplaced(): void;
}

/**
 * Writes the secret again if a table that returned from an older copy has lost
 * it. An instance that started in the meantime may have stored another one; it
 * gives way to the secret of the instances that ran before.
 */
export class FleetSecretKeeper {
  /** The era in which the table was known to hold the secret. */
  private era: number;

  private constructor(private readonly options: FleetSecretKeeperOptions) {
    this.era = options.table.era ?? 0;
  }

  static create(options: FleetSecretKeeperOptions): FleetSecretKeeper {
    return new FleetSecretKeeper(options);
  }

  /** Checks rows that were read from the table. */
  async check(rows: readonly TableRow[]): Promise<void> {
    const {table, secret, onReplaced} = this.options;
    const era = table.era ?? 0;
    const stored = findFleetSecret(rows);
    if (stored === secret) {
      this.era = era;
      return;
    }
    if (stored !== undefined && era === this.era) {
      onReplaced();
      return;
    }
    const key = FLEET_SECRET_KEY;
    const ifVersion = findRowVersion(rows, key);
    const write = {kind: 'put' as const, key, ifVersion, value: secret};
    // A conflict or a failed write shows at the next read.
    await table.batch([write], {atomic: true});
  }
}
