import type { Clock } from '@buckthornslip/common';
import type { EventLogger } from '@buckthornslip/telemetry';

/** A newer policy of another node. */
export interface PolicyAnnouncement {
  /** "address:port" of the node. */
  readonly address: string;
  readonly revision: number;
}

/** Dependencies of the fetcher. */
interface PolicyFetcherOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  /** @returns Revision of this node's current policy; 0 if there is none. */
  readonly currentRevision: () => number;
  /** @returns The encoded policy of another node, or undefined if it does not answer. */
  readonly request: (address: string) => Promise<Uint8Array | undefined>;
  /** Applies a policy if it is newer. */
  readonly offer: (bytes: Uint8Array, source: string) => void;
  /** Reads the policy from the store, because a newer one exists and no other node provides it. */
  readonly readStore: () => void;
}

/** Fetches policies that other nodes have announced. */
export interface PolicyFetcher {
  readonly announce: (announcement: PolicyAnnouncement) => void;
}

/** An announcement whose announcer has not been asked yet. */
interface WaitingAnnouncement extends PolicyAnnouncement {
  readonly sinceMilliseconds: number;
}

/** Time that nodes have to answer before further announcers are asked as well, in milliseconds. */
const TURN_MILLISECONDS = 250;

/**
 * Creates the fetcher. Several nodes announce the same policy. It is fetched from the first, from the others only if that one
 * is slow, and from the store if none of them answers. Each turn asks twice as many as the one before, so that the number of
 * turns hardly grows with the number of announcers, and a newer policy does not wait for an earlier one.
 *
 * @param options - Dependencies, such as the request to another node.
 * @returns The fetcher.
 * @internal
 */
export function createPolicyFetcher(options: PolicyFetcherOptions): PolicyFetcher {
  const { clock, currentRevision, logger, offer, readStore, request } = options;
  /** Announcements by address, of announcers that have not been asked yet. */
  const waiting = new Map<string, WaitingAnnouncement>();
  /** Announced revisions by address, of announcers that have been asked and have not answered yet. */
  const asked = new Map<string, number>();
  /** The newest announced revision while announcers are asked in turn, otherwise 0. */
  let newest = 0;

  const isNeeded = (revision: number): boolean => revision > currentRevision();

  const ask = async ({
    address,
    revision,
    sinceMilliseconds,
  }: WaitingAnnouncement): Promise<void> => {
    waiting.delete(address);
    asked.set(address, revision);
    const startedMilliseconds = clock.monotonicMilliseconds();
    const waitedMilliseconds = Math.round(startedMilliseconds - sinceMilliseconds);
    logger.log('policyRequested', { address, revision, waitedMilliseconds });
    const bytes = await request(address);
    if (asked.get(address) === revision) asked.delete(address);
    if (bytes && bytes.length > 0) {
      offer(bytes, address);
      return;
    }
    const milliseconds = Math.round(clock.monotonicMilliseconds() - startedMilliseconds);
    logger.log('policyFetchFailed', { address, revision, milliseconds });
  };

  /** Ends when the policy is in force, when nobody is left to ask, or when a newer one is announced, which begins anew. */
  const askInTurn = async (target: number): Promise<void> => {
    for (let count = 1; isNeeded(target); count *= 2) {
      [...waiting.values()]
        .filter(({ revision }) => isNeeded(revision))
        .sort((left, right) => right.revision - left.revision)
        .slice(0, count)
        .forEach((announcement) => {
          void ask(announcement);
        });
      if (![...asked.values()].some(isNeeded)) {
        readStore();
        break;
      }
      await clock.sleep(TURN_MILLISECONDS);
      if (newest !== target) return;
    }
    waiting.clear();
    newest = 0;
  };

  return {
    announce: (announcement) => {
      const { address, revision } = announcement;
      const known = Math.max(waiting.get(address)?.revision ?? 0, asked.get(address) ?? 0);
      if (!isNeeded(revision) || known >= revision) return;
      const announcers = waiting.size + asked.size;
      logger.log('policyAnnounced', { ...announcement, current: currentRevision(), announcers });
      waiting.set(address, { ...announcement, sinceMilliseconds: clock.monotonicMilliseconds() });
      if (revision <= newest) return;
      newest = revision;
      void askInTurn(revision);
    },
  };
}
