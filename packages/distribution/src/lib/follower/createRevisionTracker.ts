import type { Observable } from 'rxjs';
import { BehaviorSubject, filter } from 'rxjs';

import type { InstalledRevision } from '../revision/InstalledRevision';

/**
 * What became of a revision that was offered.
 *
 * @internal
 */
export type OfferOutcome = 'in-force' | 'not-newer' | 'awaiting-proof';

/**
 * Decides which revision is in force on a node.
 *
 * @internal
 */
export interface RevisionTracker {
  readonly current: () => InstalledRevision | undefined;
  /** Newest revision received that lacks the proof described at {@link createRevisionTracker}. */
  readonly provisional: () => InstalledRevision | undefined;
  readonly revisions: Observable<InstalledRevision>;
  readonly offer: (revision: InstalledRevision) => OfferOutcome;
  /** @param revision - Newest revision in the store at some time after the process started. */
  readonly confirm: (revision: number) => void;
}

function isDefined(revision: InstalledRevision | undefined): revision is InstalledRevision {
  return revision !== undefined;
}

/**
 * Creates the tracker of the revision in force. The revision in force only rises. A host keeps nothing when its node
 * restarts, so the first revision needs a proof that it is not older than what an earlier process on the host had in
 * force: it must be at least as high as the one that the store had at some time after this process started.
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
      return 'awaiting-proof';
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
