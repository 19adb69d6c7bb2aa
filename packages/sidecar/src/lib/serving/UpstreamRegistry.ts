import type { UpstreamId } from '@buckthornslip/common';

import type { UpstreamInstance } from './UpstreamInstance';

/** State of the upstream beside this node. */
export interface UpstreamView {
  readonly instance: UpstreamInstance;
  readonly state: 'ready' | 'draining' | 'left' | 'lost';
}

/**
 * Follows the upstream beside this node by its announcements.
 *
 * @public
 */
export interface UpstreamRegistry {
  /** @returns The newest upstream known, if any. */
  readonly current: () => UpstreamView | undefined;
  /** @returns Whether the announcement was newer than what is known. */
  readonly announce: (instance: UpstreamInstance) => boolean;
  /** The upstream leaves. */
  readonly leave: (id: UpstreamId) => void;
  /** The upstream refuses connections; it counts as gone until it announces itself again. */
  readonly markLost: () => void;
  readonly close: () => void;
}
