import type { HostId, Incarnation, RegionId, ServiceId, ZoneId } from '@buckthornslip/common';
import { createSeededRandom } from '@buckthornslip/common';
import {
  createConfigurationFollower,
  createConfigurationServer,
  createGrpcConfigurationPeers,
  toConfigurationStore,
} from '@buckthornslip/distribution';
import {
  createGrpcMembershipPeers,
  createMembership,
  createMembershipImplementation,
} from '@buckthornslip/membership';
import { createSilentLogger } from '@buckthornslip/telemetry';
import {
  authenticateDefinition,
  ConfigurationService,
  createPeerChannels,
} from '@buckthornslip/wire';
import { Server, ServerCredentials } from '@grpc/grpc-js';

import type { MeasurementEnvironment } from './MeasurementEnvironment';

const FRESHNESS_LIMIT_MILLISECONDS = 3_000;

function bind(server: Server): Promise<number> {
  return new Promise((resolve, reject) => {
    server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (error, port) => {
      if (error) reject(error);
      else resolve(port);
    });
  });
}

/**
 * Options of a synthetic peer.
 *
 * @internal
 */
export interface SyntheticPeerOptions {
  readonly index: number;
  /** Control addresses of the zone contacts. */
  readonly seeds: readonly string[];
  /** Service to announce, if any. */
  readonly service?: string;
  /**
   * Interval at which the peer polls the first seed for the configuration, in milliseconds. It does not poll if
   * omitted.
   */
  readonly pollMilliseconds?: number;
}

/**
 * Starts a synthetic peer: a node reduced to membership and, optionally, the configuration follower, with a gRPC
 * listener and connections of its own. It generates the load of a real node at a lower cost and never becomes a
 * contact.
 *
 * @param environment - Environment of the measurement.
 * @param options - Options of the peer.
 * @internal
 */
export async function startSyntheticPeer(
  environment: Pick<MeasurementEnvironment, 'clock' | 'fleetSecret' | 'onClose' | 'storeClient'>,
  options: SyntheticPeerOptions,
): Promise<void> {
  const { clock, fleetSecret } = environment;
  const { index, pollMilliseconds, seeds, service } = options;
  const host = `peer-${index}` as HostId;
  const [region, zone] = ['riga' as RegionId, 'riga-a' as ZoneId];
  const logger = createSilentLogger();
  const server = new Server();
  const controlAddress = `127.0.0.1:${await bind(server)}`;
  const channels = createPeerChannels(clock);
  const peers = createGrpcMembershipPeers(fleetSecret, channels);
  const membership = createMembership({
    identity: { host, incarnation: clock.wallMilliseconds() as Incarnation },
    region,
    zone,
    peerAddress: controlAddress,
    controlAddress,
    seeds,
    peers,
    clock,
    random: createSeededRandom(index),
    logger,
  });
  const handler = { ...membership.handler, inviteContact: () => ({ accepted: false }) };
  const implementation = createMembershipImplementation({ fleetSecret, handler });
  server.addService(implementation.definition, implementation.implementation);

  const configurationPeers = createGrpcConfigurationPeers(fleetSecret, channels);
  const contact = { host: 'measured' as HostId, region, zone, controlAddress: seeds[0] ?? '' };
  const follower = createConfigurationFollower({
    host,
    region,
    zone,
    controlAddress,
    clock,
    logger,
    store: toConfigurationStore(environment.storeClient),
    peers: configurationPeers,
    fleetSecret,
    freshnessLimitMilliseconds: FRESHNESS_LIMIT_MILLISECONDS,
    ...(pollMilliseconds === undefined ? {} : { pollMilliseconds }),
    isContact: () => false,
    contacts: () => [contact],
    registeredNodes: () => [],
  });
  server.addService(authenticateDefinition(ConfigurationService, fleetSecret), {
    ...createConfigurationServer(follower.handlers),
  });

  const running = new AbortController();
  membership.start();
  if (pollMilliseconds !== undefined) void follower.run(running.signal);
  if (service !== undefined) {
    const capacity = { slots: 30, connections: 300, state: 'ready', coldStartMilliseconds: 0 };
    membership.announce({
      service: service as ServiceId,
      address: '127.0.0.1:1',
      ...capacity,
      state: 'ready',
    });
  }
  environment.onClose(() => {
    running.abort();
    membership.close();
    channels.close();
    server.forceShutdown();
  });
}
