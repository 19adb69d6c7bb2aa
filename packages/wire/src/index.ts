/**
 * Communication between processes: gRPC messages and channels, HTTP header names and message authentication.
 *
 * @packageDocumentation
 */

export { authenticateDefinition } from './lib/authentication/authenticateDefinition';
export { AuthenticationError } from './lib/authentication/AuthenticationError';
export { createPeerChannels } from './lib/connections/createPeerChannels';
export { createUnaryHandler } from './lib/connections/createUnaryHandler';
export type { PeerCallError } from './lib/connections/PeerCallError';
export type { PeerChannels } from './lib/connections/PeerChannels';
export * as channelMessages from './lib/generated/channel';
export * as callMessages from './lib/generated/calls';
export * as membershipMessages from './lib/generated/membership';
export { headerNames } from './lib/headers/headerNames';
export { SYSTEM_HEADER_PREFIX } from './lib/headers/SYSTEM_HEADER_PREFIX';
export * as etcdProtocol from './lib/generated/etcd';
export * as leasesProtocol from './lib/generated/leases';
export { ConfigurationService } from './lib/generated/distribution';
export type {
  AnnounceRevisionRequest,
  ConfigurationClient,
  ConfigurationServer,
  FetchConfigurationRequest,
  FetchConfigurationResponse,
  FetchPartsRequest,
  FetchPartsResponse,
  FreshnessReport,
  InstallRevisionRequest,
  InstallRevisionResponse,
  Part,
  SignedHead,
} from './lib/generated/distribution';
export { StatusService } from './lib/generated/status';
export type {
  ReadStatusRequest,
  ReadStatusResponse,
  StatusClient,
  StatusServer,
} from './lib/generated/status';
export { LimitsClient, LimitsService } from './lib/generated/limits';
export type { GrantTokensRequest, GrantTokensResponse } from './lib/generated/limits';
