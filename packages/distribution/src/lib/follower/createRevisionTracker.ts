import type { Observable } from 'rxjs';
import { BehaviorSubject, filter } from 'rxjs';

import type { InstalledRevision } from '../revision/InstalledRevision';

/**
 * Result of offering a revision.
 *
 * @internal
 */
export type OfferOutcome = 'in-force' | 'not-newer' | 'awaiting-confirmation';

/**
 * Decides which received revision is in force on a node.
 *
 * @internal
 */
export interface RevisionTracker {
  readonly current: () => InstalledRevision | undefined;
  /**
   * Newest revision received, in force or still waiting for the confirmation described at
   * {@link createRevisionTracker}.
   */
  readonly provisional: () => InstalledRevision | undefined;
  readonly revisions: Observable<InstalledRevision>;
  readonly offer: (revision: InstalledRevision) => OfferOutcome;
  /** @param revision - Revision that was the newest in the store at some time after the process started. */
  readonly confirm: (revision: number) => void;
}

function isDefined(revision: InstalledRevision | undefined): revision is InstalledRevision {
  return revision !== undefined;
}

/**
 * Creates a revision tracker. The revision in force never decreases, even across restarts. A host keeps no state when
 * its node restarts, so the first revision comes into force only if it is at least as high as the revision that the
 * store had at some time after this process started. An earlier process on the host cannot have had a higher one in
 * force.
 *
 * @returns The tracker.
 * @internal
 */
export function createRevisionTracker(): RevisionTracker {
  const subject = new BehaviorSubject<InstalledRevision | undefined>(undefined);
  let provisional: InstalledRevision | undefined;
  let confirmedRevision: number | undefined;

  const install = (revision: InstalledRevision): void => {
    provisional = undefined;
    subject.next(revision);
  };

  const offer = (revision: InstalledRevision): OfferOutcome => {
    const number = revision.head.revision;
    const newest = subject.value ?? provisional;
    if (newest !== undefined && number <= newest.head.revision) return 'not-newer';
    if (confirmedRevision === undefined || number < confirmedRevision) {
      provisional = revision;
      return 'awaiting-confirmation';
    }
    install(revision);
    return 'in-force';
  };

  const confirm = (revision: number): void => {
    confirmedRevision = Math.max(confirmedRevision ?? 0, revision);
    if (provisional !== undefined && provisional.head.revision >= confirmedRevision)
      install(provisional);
  };

  return {
    current: () => subject.value,
    provisional: () => subject.value ?? provisional,
    revisions: subject.pipe(filter(isDefined)),
    offer,
    confirm,
  };
}
