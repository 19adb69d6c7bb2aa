import { createAdmissionController } from '@buckthornslip/admission';
import type { CallControlClient, RetryBudgets, Suspect } from '@buckthornslip/calls';
import {
  createAttemptTable,
  createCallForwarder,
  createContextSigner,
  createEntryServer,
  createIdempotencyRegistryClient,
  createOutgoingServer,
  createRetryPolicy,
  createServingNode,
  createServingServer,
  createSuspectTable,
  createUpstreamState,
} from '@buckthornslip/calls';
import type { RandomSource } from '@buckthornslip/common';
import { isSameNode } from '@buckthornslip/common';
import type { NodeSettings } from '@buckthornslip/config';
import type { ConfigurationFollower } from '@buckthornslip/distribution';
import type { LeaseManager } from '@buckthornslip/leases';
import type { AccountLimiter } from '@buckthornslip/limits';
import type { MembershipNode } from '@buckthornslip/membership';
import { createRouter } from '@buckthornslip/routing';

import type { CallPath } from './CallPath';
import { linkBudgetOf } from './linkBudgetOf';
import type { NodeDependencies } from './NodeDependencies';

/** Settings and dependencies of a node's call path. */
interface CallPathOptions {
  readonly dependencies: NodeDependencies;
  readonly settings: NodeSettings;
  readonly random: RandomSource;
  readonly membership: MembershipNode;
  readonly configuration: ConfigurationFollower;
  readonly leases: LeaseManager;
  readonly limiter: AccountLimiter;
  readonly budgets: RetryBudgets;
  readonly peers: CallControlClient;
}

/**
 * Creates the call path of a node: admission, routing, retries and the HTTP listeners.
 *
 * @param options - Settings and dependencies.
 * @returns The call path; its listeners are not open.
 * @internal
 */
export function createCallPath(options: CallPathOptions): CallPath {
  const {
    dependencies,
    settings,
    random,
    membership,
    configuration,
    leases,
    limiter,
    budgets,
    peers,
  } = options;
  const { clock, identity, logger } = dependencies;

  const shareSuspects = (found: readonly Suspect[]): void => {
    const { service } = membership.self();
    if (!service) return;
    for (const member of membership.members(service)) {
      const isOther = !isSameNode(member, identity);
      if (isOther && member.alive) peers.shareSuspects(member.controlAddress, found);
    }
  };

  const signer = createContextSigner(clock, settings.fleetSecret);
  const admission = createAdmissionController({ clock });
  const suspects = createSuspectTable(clock, shareSuspects);
  const attempts = createAttemptTable(clock);
  const upstream = createUpstreamState({ ...dependencies, configuration, membership, admission });
  const retryPolicy = createRetryPolicy({ clock, random, self: identity, budgets, peers });
  const idempotency = createIdempotencyRegistryClient({ clock, locator: leases, peers });
  const { region, zone } = settings;
  const linkBudget = linkBudgetOf(membership);
  const router = createRouter({ region, zone, membership, clock, random, logger, linkBudget });
  const serving = createServingNode({
    ...dependencies,
    admission,
    attempts,
    configuration,
    signer,
    suspects,
    upstream,
  });
  const forwarder = createCallForwarder({
    ...dependencies,
    configuration,
    idempotency,
    membership,
    retryPolicy,
    router,
    serving,
    signer,
  });
  const shared = { ...dependencies, configuration, forwarder, membership, retryPolicy };

  return {
    admission,
    suspects,
    upstream,
    forwarder,
    entry: createEntryServer({ ...shared, limiter }),
    peerListener: createServingServer({ ...dependencies, serving, signer }),
    outgoing: createOutgoingServer({ ...shared, signer, upstream }),
  };
}
