/** Administration API: status of this instance and of the fleet. */
import type {ConfigurationDistribution} from '@fireflytrack/configuration';
import type {Membership} from '@fireflytrack/membership';
import type {InstanceList} from '@fireflytrack/platform';
import type {StateDump} from '@fireflytrack/telemetry';
import {storeReadErrorResponse} from './admin-response.js';
import type {AdminResponse, AdminHandlers} from './admin-response.js';

export interface AdminInstanceOptions {
  distribution: ConfigurationDistribution;
  membership: Membership;
  instances: InstanceList;
  dump: StateDump;
  /** Starts a planned shutdown. */
  drain(): void;
}

export function instanceHandlers(options: AdminInstanceOptions): AdminHandlers {
  return {
    'GET /v1/status': () => showStatus(options),
    'GET /v1/instances': async () => {
      const listed = await options.instances.list();
      if (listed.err) return storeReadErrorResponse(listed.val);
      return {status: 200, body: {instances: listed.val}};
    },
    'GET /v1/dump': () => ({status: 200, body: options.dump.collect()}),
    'POST /v1/drain': () => {
      options.drain();
      return {status: 202, body: {draining: true}};
    },
  };
}

function showStatus(options: AdminInstanceOptions): AdminResponse {
  const {distribution, membership} = options;
  const peers = membership.others().map(member => {
    const {instanceId, availabilityZone, region} = member.identity;
    const {listed, reachable, leaving} = member;
    const versions = distribution.peerVersions.get(instanceId);
    const configurationVersion = versions?.configurationVersion;
    const identity = {instanceId, availabilityZone, region};
    return {...identity, listed, reachable, leaving, configurationVersion};
  });
  const {withdrawnDigest, ...status} = distribution.status();
  const {instanceId, availabilityZone, region} = membership.self;
  const identity = {instanceId, availabilityZone, region};
  return {status: 200, body: {...identity, ...status, withdrawnDigest, peers}};
}
