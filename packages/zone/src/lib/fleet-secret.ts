/** The secret that all instances of a fleet share; the first one makes it. */
import type {TableRow, TableService} from '@fireflytrack/platform';
import {randomBytes} from 'node:crypto';
import {SECRET_KEY} from './leader-row.js';

const SECRET_BYTES = 32;

/** The secret in `rows`, if there is one. */
export function secretIn(rows: readonly TableRow[]): string | undefined {
  const value = rows.find(row => row.key === SECRET_KEY)?.value;
  return typeof value === 'string' && value !== '' ? value : undefined;
}

/** Stores a new secret unless another instance did; read the table after it. */
export async function storeSecret(table: TableService): Promise<void> {
  const value = randomBytes(SECRET_BYTES).toString('base64');
  await table.batch([{kind: 'put', key: SECRET_KEY, ifVersion: 0, value}], {
    atomic: true,
  });
}
