import { choosePeerGroups } from './choosePeerGroups';
import { fetchRevision } from './fetchRevision';
import type { FollowerOptions } from './FollowerOptions';
import type { FollowerState } from './FollowerState';
import type { PeerGroup } from './PeerGroup';

/** Maximum number of contacts that answer in one poll while none of them brings a recent confirmation. */
const MAXIMUM_CONTACTS_PER_POLL = 3;

/** Time after a failure during which a contact is polled last, in milliseconds. */
const FAILURE_MEMORY_MILLISECONDS = 5_000;

/**
 * Creates the poll of other contacts. A contact that failed recently is polled last, so that an unresponsive one does
 * not cost a timeout in every poll. A group whose previous poll is still running is not polled again.
 *
 * @param options - The follower's options.
 * @param state - The follower's state.
 * @returns Runs one poll of all groups.
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

  // A node that is no longer a contact still answers, but only relays older confirmations from other contacts.
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
        if (isConfirmedRecently() || answers >= MAXIMUM_CONTACTS_PER_POLL) return;
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
