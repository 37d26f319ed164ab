/**
 * The secret shared by all instances of a fleet; the first instance creates it.
 */
import type {TableRow, TableService} from '@fireflytrack/platform';
import {randomBytes} from 'node:crypto';
import {FLEET_SECRET_KEY} from './leader-row.js';

const SECRET_BYTES = 32;

/** Returns the fleet secret in `rows`, or undefined if there is none. */
export function findFleetSecret(rows: readonly TableRow[]): string | undefined {
  const value = rows.find(row => row.key === FLEET_SECRET_KEY)?.value;
  return typeof value === 'string' && value !== '' ? value : undefined;
}

/**
 * Stores a new secret unless one exists already. Callers read the table again
 * to learn which secret is in use.
 */
export async function storeNewFleetSecret(table: TableService): Promise<void> {
  const value = randomBytes(SECRET_BYTES).toString('base64');
  await table.batch(
    [{kind: 'put', key: FLEET_SECRET_KEY, ifVersion: 0, value}],
    {
      atomic: true,
    },
  );
}
