/**
 * Publishes revisions of the manifest and the client account keys, and distributes them to all nodes.
 *
 * @packageDocumentation
 */

export type { ConfigurationSnapshot } from './lib/configuration/ConfigurationSnapshot';
export type { ConfigurationView } from './lib/configuration/ConfigurationView';
export type { KeyRecord } from './lib/configuration/KeyRecord';
export type { ConfigurationFollower } from './lib/follower/ConfigurationFollower';
export { createConfigurationFollower } from './lib/follower/createConfigurationFollower';
export type { FollowerOptions } from './lib/follower/FollowerOptions';
export { digestKey } from './lib/keys/digestKey';
export type { ConfigurationHandlers } from './lib/peers/ConfigurationHandlers';
export type { ConfigurationPeers } from './lib/peers/ConfigurationPeers';
export { createConfigurationServer } from './lib/peers/createConfigurationServer';
export { createGrpcConfigurationPeers } from './lib/peers/createGrpcConfigurationPeers';
export type { PeerContact } from './lib/peers/PeerContact';
export type { PeerError } from './lib/peers/PeerError';
export { createPublisher } from './lib/publisher/createPublisher';
export type { PublicationRefusal } from './lib/publisher/PublicationRefusal';
export type { PublicationResult } from './lib/publisher/PublicationResult';
export type { PublishedConfiguration } from './lib/publisher/PublishedConfiguration';
export type { Publisher } from './lib/publisher/Publisher';
export type { ConfigurationHead } from './lib/revision/ConfigurationHead';
export { HEAD_KEY } from './lib/revision/HEAD_KEY';
export type { PartReference } from './lib/revision/PartReference';
export type { RevisionError } from './lib/revision/RevisionError';
export type { ConfigurationStore } from './lib/store/ConfigurationStore';
export type { ConfigurationStoreError } from './lib/store/ConfigurationStoreError';
export type { StoredValue } from './lib/store/StoredValue';
export { toConfigurationStore } from './lib/store/toConfigurationStore';
