import { createRetryBudgets } from '@buckthornslip/calls';
import type { NodeIdentity } from '@buckthornslip/common';
import type { ConfigurationFollower } from '@buckthornslip/distribution';
import { createConfigurationFollower, toConfigurationStore } from '@buckthornslip/distribution';
import type { RunningLeaseManager } from '@buckthornslip/leases';
import { createLeaseManager } from '@buckthornslip/leases';
import { createAccountLimiter, createTokenServer } from '@buckthornslip/limits';
import type { MembershipNode } from '@buckthornslip/membership';
import { createMembership } from '@buckthornslip/membership';

import { createHomeRegistry } from '../leases/createHomeRegistry';
import { eligibleMembers } from '../leases/eligibleMembers';
import type { HomeRegistry } from '../leases/HomeRegistry';

import { toContactStore } from '../store/toContactStore';
import { toSplitStore } from '../store/toSplitStore';
import { createCallPath } from './createCallPath';
import { createPartitionDuties } from './createPartitionDuties';
import { formatAddress } from './formatAddress';
import type { NodeOptions } from './NodeOptions';
import type { NodeParts } from './NodeParts';
import type { NodePeers } from './NodePeers';

function buildMembership(
  options: NodeOptions,
  identity: NodeIdentity,
  peers: NodePeers,
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
  peers: NodePeers,
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

function buildLeases(
  options: NodeOptions,
  identity: NodeIdentity,
  peers: NodePeers,
  membership: MembershipNode,
): { readonly leases: RunningLeaseManager; readonly homes: HomeRegistry } {
  const { clock, logger, settings, store } = options;
  const controlAddress = formatAddress(settings.listeners.control);

  const homes = createHomeRegistry(clock, peers.calls);
  const leases = createLeaseManager({
    self: { ...identity, zone: settings.zone, controlAddress },
    store,
    clock,
    logger,
    peers: peers.leases,
    eligibleMembers: (partition) => eligibleMembers(membership, partition),
    // Partitions without a home have no state to copy.
    prepareCandidate: async (partition, _epoch, candidate) =>
      (await homes.open(partition)?.prepareCandidate(candidate)) ?? true,
  });
  homes.connect({
    heldLease: leases.heldLease,
    fencedEpoch: (partition) => leases.heldLease(partition)?.epoch ?? 0,
    removeCandidate: leases.removeCandidate,
  });
  return { leases, homes };
}

/**
 * Builds the parts of a node and joins them.
 *
 * @param options - What the node is built from.
 * @param identity - Identity of this process.
 * @param peers - Ways to the other nodes.
 * @returns The parts, none of them running.
 * @internal
 */
export function createNodeParts(
  options: NodeOptions,
  identity: NodeIdentity,
  peers: NodePeers,
): NodeParts {
  const { clock, grouping, logger, metrics, random, settings, store } = options;
  const { region } = settings;
  const membership = buildMembership(options, identity, peers);
  const configuration = buildConfiguration(options, peers, membership);
  const { leases, homes } = buildLeases(options, identity, peers, membership);
  const accounts = () => configuration.current()?.manifest.accounts ?? new Map();
  const regions = () => [...(configuration.current()?.manifest.regions.keys() ?? [])];
  const limitBasis = { clock, random, region, leases, grouping, accounts, regions, logger };
  const limiter = createAccountLimiter({ ...limitBasis, peers: peers.limits });
  const shareHolder = createTokenServer({ ...limitBasis, store: toSplitStore(store) });
  const budgets = createRetryBudgets();
  const callPath = createCallPath({
    basis: { clock, identity, logger, metrics },
    settings,
    random,
    membership,
    configuration,
    leases,
    limiter,
    budgets,
    peers: peers.calls,
  });
  const duties = createPartitionDuties({ clock, region, membership, leases, homes });
  return { budgets, callPath, configuration, duties, homes, leases, membership, shareHolder };
}
