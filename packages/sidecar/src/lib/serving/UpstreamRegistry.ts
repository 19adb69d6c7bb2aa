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
  /** Deregisters the upstream. */
  readonly leave: (id: UpstreamId) => void;
  /** Applies a departure that an earlier process of this node has acknowledged. */
  readonly restoreDeparture: (departure: MemberDeparture) => void;
  /** Marks the upstream as draining for the rest of its life, because a response of it says so. */
  readonly markLeaving: () => void;
  /** Marks the upstream as lost, because it refuses connections, until its next announcement. */
  readonly markLost: () => void;
  readonly close: () => void;
}
