import type { FollowerOptions } from './FollowerOptions';

/** Maximum number of concurrent announcements, so that a large zone does not delay the contact's other work. */
const MAXIMUM_PARALLEL_ANNOUNCEMENTS = 32;

/**
 * Notifies the nodes registered with this contact that a newer revision can be fetched from it. Announcements are best
 * effort: a node that misses one finds the revision with its next poll.
 *
 * @param options - The follower's options.
 * @param revision - The revision in force.
 * @internal
 */
export async function announceRevision(options: FollowerOptions, revision: number): Promise<void> {
  const request = { revision, controlAddress: options.controlAddress };
  const addresses = options
    .registeredNodes()
    .filter((address) => address !== options.controlAddress);
  const remaining = addresses[Symbol.iterator]();
  const announceRemaining = async (): Promise<void> => {
    for (const address of remaining) await options.peers.announceRevision(address, request);
  };
  await Promise.all(Array.from({ length: MAXIMUM_PARALLEL_ANNOUNCEMENTS }, announceRemaining));
}
