import { createRetryBudgets } from '@buckthornslip/calls';
import type { NodeIdentity } from '@buckthornslip/common';
import type { ConfigurationFollower } from '@buckthornslip/distribution';
import { createConfigurationFollower, toConfigurationStore } from '@buckthornslip/distribution';
import type { RunningLeaseManager } from '@buckthornslip/leases';
import { createLeaseManager } from '@buckthornslip/leases';
import { createAccountLimiter, createTokenServer } from '@buckthornslip/limits';
import type { MembershipNode } from '@buckthornslip/membership';
import { createMembership } from '@buckthornslip/membership';

import { createIdempotencyRegistries } from '../leases/createIdempotencyRegistries';
import { eligibleMembers } from '../leases/eligibleMembers';
import type { IdempotencyRegistries } from '../leases/IdempotencyRegistries';

import { toContactStore } from '../store/toContactStore';
import { toSplitStore } from '../store/toSplitStore';
import { createCallPath } from './createCallPath';
import { createPartitionParticipation } from './createPartitionParticipation';
import { formatAddress } from './formatAddress';
import type { NodeOptions } from './NodeOptions';
import type { NodeComponents } from './NodeComponents';
import type { PeerClients } from './PeerClients';

function buildMembership(
  options: NodeOptions,
  identity: NodeIdentity,
  peers: PeerClients,
): MembershipNode {
  const { clock, logger, random, settings, store } = options;
  return createMembership({
    identity,
    region: settings.region,
    zone: settings.zone,
    peerAddress: formatAddress(settings.listeners.peers),
    controlAddress: formatAddress(settings.listeners.control),
    seeds: settings.seeds,
    peers: peers.membership,
    store: toContactStore(store),
    clock,
    random,
    logger,
  });
}

function buildConfiguration(
  options: NodeOptions,
  peers: PeerClients,
  membership: MembershipNode,
): ConfigurationFollower {
  const { clock, logger, settings, store } = options;
  const { host, region, zone, fleetSecret, freshnessLimitMilliseconds } = settings;
  return createConfigurationFollower({
    host,
    region,
    zone,
    controlAddress: formatAddress(settings.listeners.control),
    clock,
    logger,
    store: toConfigurationStore(store),
    peers: peers.configuration,
    fleetSecret,
    freshnessLimitMilliseconds,
    isContact: membership.isContact,
    contacts: () => [...membership.zoneContacts().values()].flat(),
    registeredNodes: () => membership.registeredNodes().map((node) => node.controlAddress),
  });
}

function buildLeaseManager(
  options: NodeOptions,
  identity: NodeIdentity,
  peers: PeerClients,
  membership: MembershipNode,
): { readonly leases: RunningLeaseManager; readonly registries: IdempotencyRegistries } {
  const { clock, logger, settings, store } = options;
  const controlAddress = formatAddress(settings.listeners.control);

  const registries = createIdempotencyRegistries(clock, peers.calls);
  const leases = createLeaseManager({
    self: { ...identity, zone: settings.zone, controlAddress },
    store,
    clock,
    logger,
    peers: peers.leases,
    eligibleMembers: (partition) => eligibleMembers(membership, partition),
    // Partitions without an idempotency registry have no state to replicate.
    prepareCandidate: async (partition, _epoch, candidate) =>
      (await registries.open(partition)?.prepareCandidate(candidate)) ?? true,
  });
  registries.setLeases({
    heldLease: leases.heldLease,
    fencedEpoch: (partition) => leases.heldLease(partition)?.epoch ?? 0,
    removeCandidate: leases.removeCandidate,
  });
  return { leases, registries };
}

/**
 * Creates the components of a node and connects them.
 *
 * @param options - Settings and dependencies of the node.
 * @param identity - Host and incarnation of this process.
 * @param peers - Clients of the other nodes.
 * @returns The components, not started.
 * @internal
 */
export function createNodeComponents(
  options: NodeOptions,
  identity: NodeIdentity,
  peers: PeerClients,
): NodeComponents {
  const { clock, grouping, logger, metrics, random, settings, store } = options;
  const { region } = settings;
  const membership = buildMembership(options, identity, peers);
  const configuration = buildConfiguration(options, peers, membership);
  const { leases, registries } = buildLeaseManager(options, identity, peers, membership);
  const accounts = () => configuration.current()?.manifest.accounts ?? new Map();
  const regions = () => [...(configuration.current()?.manifest.regions.keys() ?? [])];
  const limitDependencies = { clock, random, region, leases, grouping, accounts, regions, logger };
  const limiter = createAccountLimiter({ ...limitDependencies, peers: peers.limits });
  const tokenServer = createTokenServer({ ...limitDependencies, store: toSplitStore(store) });
  const budgets = createRetryBudgets();
  const callPath = createCallPath({
    dependencies: { clock, identity, logger, metrics },
    settings,
    random,
    membership,
    configuration,
    leases,
    limiter,
    budgets,
    peers: peers.calls,
  });
  const participation = createPartitionParticipation({
    clock,
    region,
    membership,
    leases,
    registries,
  });
  return {
    budgets,
    callPath,
    configuration,
    participation,
    registries,
    leases,
    membership,
    tokenServer,
  };
}
