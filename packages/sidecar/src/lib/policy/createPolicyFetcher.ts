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

/** Time that a node has to answer before the next announcer is asked as well, in milliseconds. */
const NEXT_ANNOUNCER_DELAY_MILLISECONDS = 250;

/**
 * Creates the fetcher. Several relays announce the same policy. It is fetched from the first, from the others only if that one
 * is slow, and from the store if none of them answers.
 *
 * @param options - Dependencies, such as the request to another node.
 * @returns The fetcher.
 * @internal
 */
export function createPolicyFetcher(options: PolicyFetcherOptions): PolicyFetcher {
  const { clock, currentRevision, logger, offer, readStore, request } = options;
  /** Announced revisions that are being handled, by the address of the announcer. */
  const handled = new Map<string, number>();

  const fetch = async ({ address, revision }: PolicyAnnouncement): Promise<void> => {
    const startedMilliseconds = clock.monotonicMilliseconds();
    const bytes = await request(address);
    if (bytes && bytes.length > 0) {
      offer(bytes, address);
      return;
    }
    const milliseconds = Math.round(clock.monotonicMilliseconds() - startedMilliseconds);
    logger.log('policyFetchFailed', { address, revision, milliseconds });
  };

  const handle = async (announcement: PolicyAnnouncement): Promise<void> => {
    const { address, revision } = announcement;
    const isNeeded = (): boolean => revision > currentRevision();
    const delayMilliseconds = handled.size * NEXT_ANNOUNCER_DELAY_MILLISECONDS;
    handled.set(address, revision);
    if (delayMilliseconds > 0) await clock.sleep(delayMilliseconds);
    if (isNeeded()) {
      logger.log('policyRequested', { address, revision, waitedMilliseconds: delayMilliseconds });
      await fetch(announcement);
    }
    if (handled.get(address) === revision) handled.delete(address);
    if (isNeeded() && handled.size === 0) readStore();
  };

  return {
    announce: (announcement) => {
      const { address, revision } = announcement;
      if ((handled.get(address) ?? 0) >= revision) return;
      const announcers = handled.size;
      logger.log('policyAnnounced', { ...announcement, current: currentRevision(), announcers });
      void handle(announcement);
    },
  };
}
