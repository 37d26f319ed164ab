/** Traffic policy: the routes, teams and limits that operators configure. */
export {digestKey} from './lib/key-digest.js';
export {parsePolicyText} from './lib/policy-text.js';
export {PolicyTable} from './lib/policy-table.js';
export type {RouteMatch} from './lib/policy-table.js';
export {SplitChooser} from './lib/split-chooser.js';
export {assemblePolicy, describeIssue} from './lib/policy-parts.js';
export type {
  PartReading,
  PolicyParts,
  RoutePart,
  ServicePart,
  TeamPart,
} from './lib/policy-parts.js';
export {
  completePolicySchema,
  trafficPolicySchema,
} from './lib/traffic-policy.js';
export type {
  CallerLimits,
  PolicyNotice,
  RefusedRoute,
  ServicePolicy,
  SplitPart,
  TeamPolicy,
  TrafficPolicy,
  TrafficRoute,
} from './lib/traffic-policy.js';
