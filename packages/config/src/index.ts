/**
 * Node settings, the operators' manifest and the sidecar's call policy: schemas, validation and typed models.
 *
 * @packageDocumentation
 */

export type { ConfigurationIssue } from './lib/issues/ConfigurationIssue';
export type { AccountDefinition } from './lib/manifest/AccountDefinition';
export type { Manifest } from './lib/manifest/Manifest';
export { parseManifest } from './lib/manifest/parseManifest';
export type { RouteDefinition } from './lib/manifest/RouteDefinition';
export type { ServiceDefinition } from './lib/manifest/ServiceDefinition';
export type { ListenAddress } from './lib/settings/ListenAddress';
export type { NodeSettings } from './lib/settings/NodeSettings';
export { parseNodeSettings } from './lib/settings/parseNodeSettings';
export { readFleetSecret } from './lib/settings/readFleetSecret';
export type { CallPolicy } from './lib/policy/CallPolicy';
export type { PolicyAccount } from './lib/policy/PolicyAccount';
export type { PolicyRoute } from './lib/policy/PolicyRoute';
export type { PolicyService } from './lib/policy/PolicyService';
export type { PolicyTarget } from './lib/policy/PolicyTarget';
export type { RequestLimits } from './lib/policy/RequestLimits';
