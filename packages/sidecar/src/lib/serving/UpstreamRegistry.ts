import type { UpstreamId } from '@buckthornslip/common';
import type { MemberDeparture } from '@buckthornslip/membership';

import type { UpstreamInstance } from './UpstreamInstance';

/** State of the local upstream. */
export interface UpstreamView {
  readonly instance: UpstreamInstance;
  readonly state: 'ready' | 'draining' | 'left' | 'lost';
}

/**
 * Tracks the local upstream by its announcements.
 *
 * @public
 */
export interface UpstreamRegistry {
  /** @returns The latest known upstream, if any. */
  readonly current: () => UpstreamView | undefined;
  /** @returns Whether the announcement was newer than the known state. */
  readonly announce: (instance: UpstreamInstance) => boolean;
  /**
   * Deregisters an upstream, which need not be known yet: a node that has just started acknowledges the departure of an
   * upstream whose announcements were sent to an earlier process.
   *
   * @param id - The upstream.
   * @param startedMilliseconds - Wall-clock time of its start, if it is known, in milliseconds.
   */
  readonly leave: (id: UpstreamId, startedMilliseconds?: number) => void;
  /** Applies a departure that an earlier process of this node has acknowledged. */
  readonly restoreDeparture: (departure: MemberDeparture) => void;
  /** Marks the upstream as draining for the rest of its life, because a response of it says so. */
  readonly markLeaving: () => void;
  /** Marks the upstream as lost, because it refuses connections, until its next announcement. */
  readonly markLost: () => void;
  readonly close: () => void;
}
