import { choosePeerGroups } from './choosePeerGroups';
import { fetchRevision } from './fetchRevision';
import type { FollowerOptions } from './FollowerOptions';
import type { FollowerState } from './FollowerState';
import type { PeerGroup } from './PeerGroup';

/** Contacts asked in one poll while their answers bring no fresh confirmation. */
const MAX_CONTACTS_PER_POLL = 3;

/** Time for which a contact that failed is asked last, in milliseconds. */
const FAILURE_MEMORY_MILLISECONDS = 5_000;

/**
 * Creates the poll of other contacts. A contact that failed a short while ago is asked last, so that a silent one does
 * not cost its time-out in every poll. A group whose last poll is still under way is not polled again.
 *
 * @param options - The follower's options.
 * @param state - The follower's state.
 * @returns The poll.
 * @internal
 */
export function createPeerPoll(
  options: FollowerOptions,
  state: FollowerState,
): () => Promise<void> {
  const { clock } = options;
  const failedAt = new Map<string, number>();
  const running = new Map<string, Promise<void>>();

  const hasFailedRecently = (address: string): boolean => {
    const time = failedAt.get(address);
    return time !== undefined && clock.monotonicMilliseconds() - time < FAILURE_MEMORY_MILLISECONDS;
  };

  // A node that is no longer a contact still answers, but has its confirmations at second hand.
  const isConfirmedRecently = (): boolean => {
    const age = state.freshness.confirmedAgeMilliseconds();
    return age !== undefined && age < options.freshnessLimitMilliseconds / 2;
  };

  const pollGroup = async ({ contacts }: PeerGroup): Promise<void> => {
    const addresses = contacts.map(({ controlAddress }) => controlAddress);
    const failing = addresses.filter(hasFailedRecently);
    const preferred = addresses.filter((address) => !failing.includes(address));
    let answers = 0;
    for (const address of [...preferred, ...failing]) {
      const answered = await fetchRevision(options, state, address);
      if (answered) {
        failedAt.delete(address);
        answers += 1;
        if (isConfirmedRecently() || answers >= MAX_CONTACTS_PER_POLL) return;
      } else {
        failedAt.set(address, clock.monotonicMilliseconds());
      }
    }
  };

  const startGroup = (group: PeerGroup): Promise<void> => {
    const run = pollGroup(group).finally(() => running.delete(group.name));
    running.set(group.name, run);
    return run;
  };

  return async () => {
    await Promise.all(
      choosePeerGroups(options).map((group) => running.get(group.name) ?? startGroup(group)),
    );
  };
}
