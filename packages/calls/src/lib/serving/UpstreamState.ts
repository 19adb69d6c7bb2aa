import type { Announcement } from '@buckthornslip/membership';

import type { ConnectionPool } from '../http/ConnectionPool';

/**
 * State of a node's local upstream.
 *
 * @public
 */
export interface UpstreamState {
  /** Applies an announcement, and passes it on to membership and admission. */
  readonly announce: (announcement: Announcement) => void;
  /** @returns The latest announcement; undefined before the first one and after `markLost`. */
  readonly current: () => Announcement | undefined;
  /** @returns Connection pool of the announced address. */
  readonly pool: () => ConnectionPool | undefined;
  /** Marks the upstream as unavailable, since it refuses connections. The next announcement makes it available. */
  readonly markLost: () => void;
  /** @returns Number of failures of the upstream so far. */
  readonly failures: () => number;
  /**
   * Records that a call failed because the upstream's process ended.
   *
   * @param failuresAtStart - Value of `failures` when the call started.
   * @returns Whether this failure had not been recorded yet.
   */
  readonly countFailure: (failuresAtStart: number) => boolean;
  /** Closes the connections to the upstream. */
  readonly close: () => void;
}
