import type { Result } from '@buckthornslip/common';

import type { ConfigurationHead } from '../revision/ConfigurationHead';
import type { InstalledRevision } from '../revision/InstalledRevision';
import type { RevisionError } from '../revision/RevisionError';
import type { FreshnessTimes } from './FreshnessTimes';
import type { FreshnessTracker } from './createFreshnessTracker';

/**
 * State that a follower's polls and handlers share.
 *
 * @internal
 */
export interface FollowerState {
  readonly freshness: FreshnessTracker;
  readonly current: () => InstalledRevision | undefined;
  readonly currentRevision: () => number;
  /** Newest revision received, in force or not. */
  readonly newest: () => InstalledRevision | undefined;
  /** @param revision - Revision that this process itself has read from the store. */
  readonly confirm: (revision: number) => void;
  /** Takes in times, which may bring a provisional revision into force. */
  readonly recordFreshness: (times: FreshnessTimes) => void;
  /** Checks a revision and puts it in force if it is newer and proven. Logs what it refuses. */
  readonly accept: (
    head: ConfigurationHead,
    headBytes: Uint8Array,
    newParts: ReadonlyMap<string, Uint8Array>,
  ) => Result<InstalledRevision, RevisionError>;
  readonly reject: (error: RevisionError, source: string) => void;
}
