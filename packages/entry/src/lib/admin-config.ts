/** Administration API: reading and changing the configuration. */
import type {
  ConfigurationChanges,
  ConfigurationDistribution,
  ConfigurationHead,
  ConfigurationRepository,
} from '@fireflytrack/configuration';
import {z} from 'zod';
import {
  errorResponse,
  toChangeResponse,
  storeReadErrorResponse,
} from './admin-response.js';
import type {
  AdminResponse,
  AdminHandlers,
  AdminRequest,
} from './admin-response.js';

export interface AdminConfigOptions {
  repository: ConfigurationRepository;
  changes: ConfigurationChanges;
  distribution: ConfigurationDistribution;
}

const applySchema = z.object({
  text: z.string(),
  baseVersion: z.number().int().nonnegative(),
  changeId: z.string().min(1).max(128),
});
const showSchema = z.object({
  version: z.coerce.number().int().positive().optional(),
});
const historySchema = z.object({
  limit: z.coerce.number().int().min(1).max(100).default(20),
});
const changeSchema = z.object({changeId: z.string().min(1).max(128)});

export function configHandlers(options: AdminConfigOptions): AdminHandlers {
  return {
    'GET /v1/config': request => showConfiguration(options, request),
    'PUT /v1/config': async request => {
      const change = applySchema.parse(request.body);
      return toChangeResponse(await options.changes.apply(change));
    },
    'GET /v1/history': request => showHistory(options, request),
    'GET /v1/changes/:changeId': request => showChange(options, request),
  };
}

/** Returns the stored text of the requested version; the newest by default. */
async function showConfiguration(
  options: AdminConfigOptions,
  request: AdminRequest,
): Promise<AdminResponse> {
  const {repository, distribution} = options;
  const {version} = showSchema.parse(request.$params ?? {});
  const head =
    version === undefined
      ? await repository.readHead()
      : await repository.readVersion(version);
  if (head.err) return storeReadErrorResponse(head.val);
  const inUseHere = distribution.current()?.version ?? 0;
  if (!head.val) {
    if (version !== undefined) {
      return errorResponse('not-found', `there is no version ${version}`);
    }
    return {status: 200, body: {version: 0, inUseHere, text: ''}};
  }
  const text = await repository.readText(head.val.objectKey);
  if (text.err) return storeReadErrorResponse(text.val);
  return {
    status: 200,
    body: {...toVersionSummary(head.val), inUseHere, text: text.val},
  };
}

async function showHistory(
  options: AdminConfigOptions,
  request: AdminRequest,
): Promise<AdminResponse> {
  const {limit} = historySchema.parse(request.$params ?? {});
  const versions = await options.repository.readHistory(limit);
  if (versions.err) return storeReadErrorResponse(versions.val);
  return {status: 200, body: {versions: versions.val.map(toVersionSummary)}};
}

async function showChange(
  options: AdminConfigOptions,
  request: AdminRequest,
): Promise<AdminResponse> {
  const {changeId} = changeSchema.parse(request.$params);
  const status = await options.changes.status(changeId);
  if (status.ok && status.val === undefined) {
    return errorResponse('not-found', `there is no change "${changeId}"`);
  }
  return toChangeResponse(status);
}

function toVersionSummary({
  version,
  changeId,
  hash,
  previousHash,
}: ConfigurationHead) {
  return {version, changeId, hash, previousHash};
}
