import type { Result } from '@buckthornslip/common';

import type { ConfigurationHead } from '../revision/ConfigurationHead';
import type { InstalledRevision } from '../revision/InstalledRevision';
import type { RevisionError } from '../revision/RevisionError';
import type { FreshnessTimes } from './FreshnessTimes';
import type { FreshnessTracker } from './createFreshnessTracker';

/**
 * State shared by a follower's polls and handlers.
 *
 * @internal
 */
export interface FollowerState {
  readonly freshness: FreshnessTracker;
  readonly current: () => InstalledRevision | undefined;
  readonly currentRevision: () => number;
  /** Newest revision received, whether or not it is in force. */
  readonly newest: () => InstalledRevision | undefined;
  /** @param revision - Revision that this process has read from the store. */
  readonly confirm: (revision: number) => void;
  /** Records freshness times, which may put a provisional revision in force. */
  readonly recordFreshness: (times: FreshnessTimes) => void;
  /** Validates a revision and puts it in force if it is newer and confirmed. */
  readonly accept: (
    head: ConfigurationHead,
    headBytes: Uint8Array,
    newParts: ReadonlyMap<string, Uint8Array>,
  ) => Result<InstalledRevision, RevisionError>;
  /** Logs a revision that was rejected, and its source. */
  readonly reject: (error: RevisionError, source: string) => void;
}
