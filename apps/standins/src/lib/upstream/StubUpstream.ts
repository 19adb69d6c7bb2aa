import type { UpstreamCounters } from './UpstreamCounters';
import type { UpstreamFaults } from './UpstreamFaults';

/**
 * A stub upstream.
 *
 * @public
 */
export interface StubUpstream {
  /** Starts listening and announces the upstream as ready. */
  readonly start: () => Promise<void>;
  /** @returns "address:port". */
  readonly address: () => string;
  readonly counters: () => UpstreamCounters;
  readonly setFaults: (faults: Partial<UpstreamFaults>) => void;
  /** Shuts down gracefully: announces the draining state, finishes calls in progress and closes the server. */
  readonly stop: () => Promise<void>;
  /** Closes the server and all connections immediately. */
  readonly crash: () => void;
}
