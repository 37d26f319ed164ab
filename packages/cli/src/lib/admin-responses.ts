/** Schemas of the administration API's responses that the commands use. */
import {z} from 'zod';

export const changeStateSchema = z.looseObject({
  state: z.enum(['pending', 'in_force']),
  fenced: z.array(z.string()),
  missing: z.array(z.string()),
});
export type ChangeState = z.infer<typeof changeStateSchema>;

export const versionStatusSchema = changeStateSchema.extend({
  version: z.number(),
  changeId: z.string(),
});
export type VersionStatus = z.infer<typeof versionStatusSchema>;

export const issuedKeySchema = changeStateSchema.extend({
  keyId: z.string(),
  key: z.string(),
});

export const withdrawalSchema = changeStateSchema.extend({
  keyId: z.string(),
  stored: z.boolean(),
});

export const storedConfigurationSchema = z.looseObject({
  version: z.number(),
  inUseHere: z.number(),
  text: z.string(),
});

export const historySchema = z.looseObject({
  versions: z.array(
    z.looseObject({
      version: z.number(),
      changeId: z.string(),
      hash: z.string(),
    }),
  ),
});

export const keyListSchema = z.looseObject({
  fromStore: z.boolean(),
  keys: z.array(
    z.looseObject({
      keyId: z.string(),
      team: z.string(),
      withdrawn: z.boolean(),
    }),
  ),
});

export const statusSchema = z.looseObject({
  instanceId: z.string(),
  configurationVersion: z.number(),
  ready: z.boolean(),
  mayServe: z.boolean(),
  ageMs: z.number().optional(),
  storeReadsFailing: z.boolean(),
  peers: z.array(
    z.looseObject({
      instanceId: z.string(),
      availabilityZone: z.string(),
      listed: z.boolean(),
      reachable: z.boolean(),
      leaving: z.boolean(),
      configurationVersion: z.number().optional(),
    }),
  ),
});

export const instanceListSchema = z.looseObject({
  instances: z.array(
    z.looseObject({
      instanceId: z.string(),
      host: z.string(),
      adminPort: z.number(),
    }),
  ),
});

export const anyObjectSchema = z.record(z.string(), z.unknown());

/** Describes a change's state and the instances that do not have it yet. */
export function describeChangeState(change: ChangeState): string[] {
  const lines = [change.state === 'in_force' ? 'in force' : 'pending'];
  if (change.missing.length > 0) {
    lines.push(`not yet on: ${change.missing.join(', ')}`);
  }
  if (change.fenced.length > 0) {
    lines.push(`refusing to serve: ${change.fenced.join(', ')}`);
  }
  return lines;
}
