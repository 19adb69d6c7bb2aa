import type { Observable } from 'rxjs';

import { assembleRevision } from '../revision/assembleRevision';
import type { InstalledRevision } from '../revision/InstalledRevision';
import { createFreshnessTracker } from './createFreshnessTracker';
import { createRevisionTracker } from './createRevisionTracker';
import type { FollowerOptions } from './FollowerOptions';
import type { FollowerState } from './FollowerState';

/**
 * @param options - The follower's options.
 * @returns State shared by the follower's polls and handlers, and the revisions as they come into force.
 * @internal
 */
export function createFollowerState(
  options: FollowerOptions,
): FollowerState & { readonly revisions: Observable<InstalledRevision> } {
  const { clock, logger } = options;
  const startedAt = clock.monotonicMilliseconds();
  const revisionTracker = createRevisionTracker();
  const freshness = createFreshnessTracker({
    clock,
    limitMilliseconds: options.freshnessLimitMilliseconds,
    contactRegion: () => (options.isContact() ? options.region : undefined),
  });
  const currentRevision = (): number => revisionTracker.current()?.head.revision ?? 0;
  revisionTracker.revisions.subscribe(({ head }) => {
    freshness.advance(head.revision);
    logger.log('revisionInForce', { revision: head.revision, publication: head.publicationId });
  });

  return {
    freshness,
    revisions: revisionTracker.revisions,
    current: revisionTracker.current,
    currentRevision,
    newest: revisionTracker.provisional,
    confirm: revisionTracker.confirm,
    recordFreshness: (times) => {
      const { confirmedAt, revision } = times;
      if (confirmedAt !== undefined && confirmedAt > startedAt) revisionTracker.confirm(revision);
      freshness.record(times, currentRevision());
    },
    accept: (head, headBytes, newParts) => {
      const assembled = assembleRevision(head, headBytes, newParts, revisionTracker.provisional());
      if (assembled.ok) revisionTracker.offer(assembled.value);
      return assembled;
    },
    reject: (error, source) => {
      // A part is missing if a newer publication removed it during the read; the next poll finds the newer revision.
      const event = error.kind === 'part-missing' ? 'revisionIncomplete' : 'revisionRejected';
      logger.log(event, { source, error });
    },
  };
}
