/** Traffic policy: the routes, teams and limits that operators configure. */
export {digestKey} from './lib/key-digest.js';
export {parsePolicyText} from './lib/policy-text.js';
export {PolicyTable} from './lib/policy-table.js';
export {SplitChooser} from './lib/split-chooser.js';
export {trafficPolicySchema} from './lib/traffic-policy.js';
export type {
  CallerLimits,
  ServicePolicy,
  SplitPart,
  TeamPolicy,
  TrafficPolicy,
  TrafficRoute,
} from './lib/traffic-policy.js';
