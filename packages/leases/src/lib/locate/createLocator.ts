import { failure, isSameNode, success, type PartitionId, type Result } from '@buckthornslip/common';

import type { LeaseError } from '../manager/LeaseError';
import type { LeaseLocation } from '../manager/LeaseLocation';
import type { LeaseContext } from '../partition/LeaseContext';
import { decodeLeaseRecord } from '../record/decodeLeaseRecord';
import { leaseKey } from '../record/leaseKey';
import { rankMembers } from '../selection/rankMembers';
import { withTimeout } from '../timing/withTimeout';

/** Number of members to ask before the store; the holder and its candidates usually rank first. */
const PEERS_ASKED = 3;

type LocationResult = Result<LeaseLocation, LeaseError>;

interface Lookup {
  readonly location: LeaseLocation | undefined;
  /** The location that was forgotten because that node did not answer as the holder. */
  readonly rejected: LeaseLocation | undefined;
  readonly lastSearchMilliseconds: number;
  readonly lastReadMilliseconds: number;
  readonly lastResult: LocationResult;
  readonly running: Promise<LocationResult> | undefined;
}

/**
 * Finds the holder of partitions in which this node does not participate.
 *
 * @internal
 */
export interface Locator {
  readonly locate: (partition: PartitionId) => Promise<LocationResult>;
  readonly forget: (partition: PartitionId) => void;
}

const initialLookup: Lookup = {
  location: undefined,
  rejected: undefined,
  lastSearchMilliseconds: Number.NEGATIVE_INFINITY,
  lastReadMilliseconds: Number.NEGATIVE_INFINITY,
  lastResult: failure({ kind: 'no-holder' }),
  running: undefined,
};

const isSameLocation = (left: LeaseLocation, right: LeaseLocation | undefined): boolean =>
  right !== undefined && left.epoch === right.epoch && isSameNode(left.holder, right.holder);

async function readStore(context: LeaseContext, partition: PartitionId): Promise<LocationResult> {
  const result = await context.read(leaseKey(partition));
  if (!result.ok) return failure({ kind: 'store-unavailable' });
  const record = result.value && decodeLeaseRecord(result.value.value);
  if (!record || record.handedOver) return failure({ kind: 'no-holder' });
  const { host, incarnation, controlAddress } = record.holder;
  return success({ holder: { host, incarnation }, epoch: record.epoch, controlAddress });
}

async function askPeers(
  context: LeaseContext,
  partition: PartitionId,
  isUseful: (location: LeaseLocation) => boolean,
): Promise<LeaseLocation | undefined> {
  const { clock, durations, peers, self } = context;
  const others = context.eligible(partition).filter(({ host }) => host !== self.host);
  for (const member of rankMembers(partition, others).slice(0, PEERS_ASKED)) {
    const response = peers.locate(member, partition);
    const location = await withTimeout(clock, durations.peerTimeout, response);
    if (location && isUseful(location)) return location;
  }
  return undefined;
}

/**
 * Creates a locator. For each partition it runs one search at a time and at most one per lookup interval.
 * It asks members first and reads the store at most once per renewal interval, so neither messages nor
 * store reads grow with the number of calls.
 *
 * @param context - Dependencies of the lease manager.
 * @param locateHere - Returns what this node knows as a participant.
 * @internal
 */
export function createLocator(
  context: LeaseContext,
  locateHere: (partition: PartitionId) => LeaseLocation | undefined,
): Locator {
  const { clock, durations } = context;
  const lookups = new Map<PartitionId, Lookup>();

  const lookupOf = (partition: PartitionId): Lookup => lookups.get(partition) ?? initialLookup;

  const update = (partition: PartitionId, fields: Partial<Lookup>): void => {
    lookups.set(partition, { ...lookupOf(partition), ...fields });
  };

  const search = async (partition: PartitionId): Promise<LocationResult> => {
    const { rejected, lastResult, lastReadMilliseconds } = lookupOf(partition);
    const isUseful = (location: LeaseLocation): boolean =>
      !isSameLocation(location, rejected) && location.epoch >= (rejected?.epoch ?? 0);
    const known = locateHere(partition);
    if (known && isUseful(known)) return success(known);
    const answered = await askPeers(context, partition, isUseful);
    if (answered) return success(answered);
    const now = clock.monotonicMilliseconds();
    if (now - lastReadMilliseconds < durations.renewalInterval) return lastResult;
    update(partition, { lastReadMilliseconds: now });
    return readStore(context, partition);
  };

  const runSearch = async (partition: PartitionId): Promise<LocationResult> => {
    const lastResult = await search(partition);
    const location = lastResult.ok ? lastResult.value : undefined;
    update(partition, { lastResult, location, running: undefined });
    return lastResult;
  };

  const locate: Locator['locate'] = async (partition) => {
    const { location, running, lastSearchMilliseconds, lastResult } = lookupOf(partition);
    if (location) return success(location);
    if (running) return running;
    const now = clock.monotonicMilliseconds();
    if (now - lastSearchMilliseconds < durations.lookupInterval) return lastResult;
    update(partition, { lastSearchMilliseconds: now });
    const started = runSearch(partition);
    update(partition, { running: started });
    return started;
  };

  const forget = (partition: PartitionId): void => {
    const { location, rejected } = lookupOf(partition);
    update(partition, { rejected: location ?? rejected, location: undefined });
  };

  return { locate, forget };
}
