import type { Announcement } from '@buckthornslip/membership';

import type { ConnectionPool } from '../http/ConnectionPool';

/**
 * What the node knows of the upstream beside it.
 *
 * @public
 */
export interface UpstreamState {
  /** Takes in an announcement and passes it on to membership and admission. */
  readonly announce: (announcement: Announcement) => void;
  /** @returns The newest announcement; undefined before the first and after the upstream was lost. */
  readonly current: () => Announcement | undefined;
  /** @returns Connections to the announced address. */
  readonly pool: () => ConnectionPool | undefined;
  /** Forgets the upstream, since it refuses connections; it is used again after its next announcement. */
  readonly markLost: () => void;
  /** @returns Number that grows with each failure of the upstream. */
  readonly failures: () => number;
  /**
   * Notes that a call failed because the upstream's process ended.
   *
   * @param failuresAtStart - Value of `failures` when the call began.
   * @returns Whether this is a failure that was not noted before.
   */
  readonly countFailure: (failuresAtStart: number) => boolean;
  /** Ends the connections to the upstream. */
  readonly close: () => void;
}
