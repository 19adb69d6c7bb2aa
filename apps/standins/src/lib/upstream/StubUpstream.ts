import type { UpstreamCounters } from './UpstreamCounters';
import type { UpstreamFaults } from './UpstreamFaults';

/**
 * A running upstream stand-in.
 *
 * @public
 */
export interface StubUpstream {
  /** Listens and announces itself as ready. */
  readonly start: () => Promise<void>;
  /** @returns "address:port". */
  readonly address: () => string;
  readonly counters: () => UpstreamCounters;
  readonly setFaults: (faults: Partial<UpstreamFaults>) => void;
  /** Announces that it drains, finishes its calls and stops. */
  readonly stop: () => Promise<void>;
  /** Ends at once, as a crash does. */
  readonly crash: () => void;
}
