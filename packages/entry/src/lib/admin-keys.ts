/** Administration API: listing, issuing and withdrawing team keys. */
import type {
  ConfigurationChanges,
  ConfigurationDistribution,
  KeyRepository,
} from '@fireflytrack/configuration';
import {randomUUID} from 'node:crypto';
import {z} from 'zod';
import {toChangeResponse} from './admin-response.js';
import type {AdminResponse, AdminHandlers} from './admin-response.js';

export interface AdminKeysOptions {
  keys: KeyRepository;
  changes: ConfigurationChanges;
  distribution: ConfigurationDistribution;
}

const issueSchema = z.object({
  team: z.string().min(1),
  changeId: z.string().min(1).max(128).optional(),
});
const withdrawSchema = z.object({keyId: z.string()});

export function keyHandlers(options: AdminKeysOptions): AdminHandlers {
  return {
    'GET /v1/keys': () => listKeys(options),
    'POST /v1/keys': async request => {
      const {team, changeId} = issueSchema.parse(request.body);
      const id = changeId ?? randomUUID();
      return toChangeResponse(await options.changes.issueKey(team, id));
    },
    'POST /v1/keys/:keyId/withdraw': async request => {
      const {keyId} = withdrawSchema.parse(request.$params);
      return toChangeResponse(await options.changes.withdrawKey(keyId));
    },
  };
}

/** Lists the stored keys; during a store outage, those of the local replica. */
async function listKeys(options: AdminKeysOptions): Promise<AdminResponse> {
  const stored = await options.keys.read();
  const replicated = options.distribution.replica.keySet();
  const {keys} = stored.ok ? stored.val : replicated;
  const withdrawn = new Set(replicated.withdrawn);
  for (const keyId of stored.ok ? stored.val.withdrawn : []) {
    withdrawn.add(keyId);
  }
  const summaries = keys.map(({keyId, teamName}) => ({
    keyId,
    team: teamName,
    withdrawn: withdrawn.has(keyId),
  }));
  return {status: 200, body: {keys: summaries, fromStore: stored.ok}};
}
