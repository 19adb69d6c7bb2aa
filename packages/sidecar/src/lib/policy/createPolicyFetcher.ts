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
}

/** Fetches policies that other nodes have announced. */
export interface PolicyFetcher {
  readonly announce: (announcement: PolicyAnnouncement) => void;
}

/**
 * Creates the fetcher. Several relays announce the same policy; it is fetched from one of them at a time.
 *
 * @param options - Dependencies, such as the request to another node.
 * @returns The fetcher.
 * @internal
 */
export function createPolicyFetcher(options: PolicyFetcherOptions): PolicyFetcher {
  const { clock, currentRevision, logger, offer, request } = options;
  let isFetching = false;

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

  return {
    announce: (announcement) => {
      logger.log('policyAnnounced', { ...announcement, current: currentRevision(), isFetching });
      if (isFetching) return;
      isFetching = true;
      void fetch(announcement).finally(() => {
        isFetching = false;
      });
    },
  };
}
