import type { SignedHead } from '@buckthornslip/wire';

import { listParts } from '../revision/listParts';
import { verifySignedHead } from '../revision/verifySignedHead';
import type { FollowerOptions } from './FollowerOptions';
import type { FollowerState } from './FollowerState';
import { toFreshnessTimes } from './toFreshnessTimes';

async function fetchNewerRevision(
  options: FollowerOptions,
  state: FollowerState,
  address: string,
  signed: SignedHead,
): Promise<boolean> {
  const head = verifySignedHead(signed, options.fleetSecret);
  if (!head.ok) {
    state.reject(head.error, address);
    return false;
  }
  const known = state.newest()?.parts;
  const digests = listParts(head.value)
    .map(({ digest }) => digest)
    .filter((digest) => known?.has(digest) !== true);
  const response =
    digests.length === 0
      ? { ok: true as const, value: { parts: [] } }
      : await options.peers.fetchParts(address, { digests });
  if (!response.ok) return false;
  const parts = new Map(response.value.parts.map((part) => [part.digest, part.compressed]));
  const accepted = state.accept(head.value, signed.head, parts);
  if (!accepted.ok) state.reject(accepted.error, address);
  return accepted.ok;
}

/**
 * Fetches the freshness report of a peer and, if it has one, a newer revision.
 *
 * @param options - The follower's options.
 * @param state - The follower's state.
 * @param address - Control address of the peer.
 * @returns Whether the peer answered and any newer revision it sent is valid.
 * @internal
 */
export async function fetchRevision(
  options: FollowerOptions,
  state: FollowerState,
  address: string,
): Promise<boolean> {
  const sentAt = options.clock.monotonicMilliseconds();
  const knownRevision = state.newest()?.head.revision ?? 0;
  const response = await options.peers.fetchConfiguration(address, { knownRevision });
  if (!response.ok) return false;
  const { report, head } = response.value;
  const times = report === undefined ? undefined : toFreshnessTimes(report, sentAt);
  if (times !== undefined) state.recordFreshness(times);
  return head === undefined || fetchNewerRevision(options, state, address, head);
}
