import type { Clock, PartitionId } from '@buckthornslip/common';

import type { Binding } from './Binding';
import type { Claim } from './Claim';
import type { ClaimAnswer } from './ClaimAnswer';
import type { ClaimRequest } from './ClaimRequest';
import { createReplicaGroup } from './createReplicaGroup';
import { createReplicaState } from './createReplicaState';
import type { HeldIdempotencyLease } from './HeldIdempotencyLease';
import type { IdempotencyLeases } from './IdempotencyLeases';
import type { IdempotencyPeers } from './IdempotencyPeers';
import type { IdempotencyRegistry } from './IdempotencyRegistry';
import type { IdempotencyReplica } from './IdempotencyReplica';
import { KEY_RETENTION_MILLISECONDS } from './KEY_RETENTION_MILLISECONDS';
import type { ReplicaGroup } from './ReplicaGroup';

/** Tolerated clock difference between a caller and the holder, in milliseconds. */
const CLOCK_DIFFERENCE_MILLISECONDS = 5_000;

interface HolderTerm {
  readonly epoch: number;
  readonly replicas: ReplicaGroup;
}

function toClaim(binding: Binding, existing: boolean): Claim {
  return { attemptId: binding.attemptId, servingNode: binding.servingNode, existing };
}

/**
 * Creates the idempotency registry of one service on this node.
 *
 * A claim is granted only after every node that might become the holder has the binding. Safety does not depend on
 * clocks: a holder that was paused past the end of its lease gets no acknowledgement from a candidate that has taken
 * over.
 *
 * @param options - Clock, partition, its lease and the client of other nodes.
 * @returns The registry, without any bindings.
 * @public
 */
export function createIdempotencyRegistry(options: {
  readonly clock: Clock;
  readonly partition: PartitionId;
  readonly leases: IdempotencyLeases;
  readonly peers: IdempotencyPeers;
}): IdempotencyRegistry {
  const { clock, partition, leases, peers } = options;
  const state = createReplicaState(clock);
  const pending = new Map<string, Promise<ClaimAnswer>>();
  let term: HolderTerm | undefined;

  const startWithoutState = (heldLease: HeldIdempotencyLease): void => {
    state.clear();
    state.table().widenUnknownRange({
      createdUpToMilliseconds: heldLease.takenAtWallMilliseconds + CLOCK_DIFFERENCE_MILLISECONDS,
      untilMilliseconds: heldLease.takenAtWallMilliseconds + KEY_RETENTION_MILLISECONDS,
    });
  };

  const startTerm = (heldLease: HeldIdempotencyLease): HolderTerm => {
    if (heldLease.startedWithoutState) startWithoutState(heldLease);
    state.becomeHolder(heldLease.epoch);
    const { epoch } = heldLease;
    return {
      epoch,
      replicas: createReplicaGroup({ partition, epoch, table: state.table(), peers }),
    };
  };

  const currentLease = (): HeldIdempotencyLease | undefined => {
    const heldLease = leases.heldLease(partition);
    if (!heldLease || heldLease.remainingMilliseconds() <= 0) return undefined;
    if (term?.epoch !== heldLease.epoch) term = startTerm(heldLease);
    return heldLease;
  };

  const isStillHeld = (epoch: number): boolean => currentLease()?.epoch === epoch;

  const removeReplica = async (
    replica: IdempotencyReplica,
    group: ReplicaGroup,
  ): Promise<boolean> => {
    const removal = await leases.removeCandidate(partition, replica);
    if (removal.ok) group.remove(replica);
    return removal.ok;
  };

  /** Copies a binding to every node that might become the holder, and removes candidates that do not acknowledge it. */
  const replicateToCandidates = async (
    binding: Binding,
    heldLease: HeldIdempotencyLease,
  ): Promise<boolean> => {
    const group = term?.replicas;
    if (!group) return false;
    const failed = await group.copy(binding, heldLease.candidates);
    const removals = await Promise.all(failed.map((replica) => removeReplica(replica, group)));
    return removals.every(Boolean) && isStillHeld(heldLease.epoch);
  };

  const bind = async (
    request: ClaimRequest,
    earlier: Binding | undefined,
    heldLease: HeldIdempotencyLease,
  ): Promise<ClaimAnswer> => {
    const binding: Binding = {
      scopedKey: request.scopedKey,
      requestDigest: request.requestDigest,
      attemptId: request.attemptId,
      servingNode: request.servingNode,
      released: false,
      epoch: heldLease.epoch,
      version: (earlier?.version ?? 0) + 1,
      boundAtMilliseconds: earlier?.boundAtMilliseconds ?? clock.wallMilliseconds(),
    };
    const table = state.table();
    if (!table.store(binding)) return { kind: 'home-unavailable' };
    if (await replicateToCandidates(binding, heldLease))
      return { kind: 'bound', claim: toClaim(binding, false) };
    // The claim was not granted, so the key can be bound again. Replicas may still have it as bound. A repeat after a
    // takeover then runs this same attempt at its serving node, which is safe as well.
    table.store({ ...binding, released: true, version: binding.version + 1 });
    return { kind: 'home-unavailable' };
  };

  const answerExisting = (request: ClaimRequest, known: Binding): ClaimAnswer => {
    if (known.requestDigest !== request.requestDigest) return { kind: 'idempotency-key-reused' };
    return { kind: 'bound', claim: toClaim(known, known.attemptId !== request.attemptId) };
  };

  const decide = async (
    request: ClaimRequest,
    heldLease: HeldIdempotencyLease,
  ): Promise<ClaimAnswer> => {
    const table = state.table();
    const known = table.find(request.scopedKey);
    if (known && !known.released) {
      // A binding of an earlier epoch may not have reached every candidate before the previous holder failed.
      const isReplicated =
        known.epoch === heldLease.epoch || (await replicateToCandidates(known, heldLease));
      return isReplicated ? answerExisting(request, known) : { kind: 'home-unavailable' };
    }
    if (!known && table.isUnknown(request.scopedKey)) return { kind: 'outcome-unknown' };
    return bind(request, known, heldLease);
  };

  const claim = async (request: ClaimRequest): Promise<ClaimAnswer> => {
    const running = pending.get(request.scopedKey);
    if (running) {
      await running;
      return claim(request);
    }
    const heldLease = currentLease();
    if (!heldLease) return { kind: 'not-holder' };
    const answer = decide(request, heldLease);
    pending.set(request.scopedKey, answer);
    try {
      return await answer;
    } finally {
      pending.delete(request.scopedKey);
    }
  };

  const release: IdempotencyRegistry['release'] = async (scopedKey, attemptId) => {
    await pending.get(scopedKey);
    const heldLease = currentLease();
    if (!heldLease) return false;
    const known = state.table().find(scopedKey);
    if (!known || known.attemptId !== attemptId || known.released) return true;
    const released = {
      ...known,
      released: true,
      epoch: heldLease.epoch,
      version: known.version + 1,
    };
    state.table().store(released);
    // If a replica misses the release, a repeat only goes to the old attempt, where it is refused again.
    await term?.replicas.copy(released, heldLease.candidates);
    return true;
  };

  return {
    claim,
    release,
    acceptReplica: (message) => {
      if (message.epoch < leases.fencedEpoch(partition)) return false;
      return state.accept(message);
    },
    prepareCandidate: async (candidate) => {
      const heldLease = currentLease();
      if (!heldLease || !term) return false;
      return term.replicas.synchronize(candidate);
    },
  };
}
