import type { ConfigurationHead } from '../revision/ConfigurationHead';
import { listParts } from '../revision/listParts';
import type { PartReference } from '../revision/PartReference';
import type { Draft } from './Draft';

/**
 * Maximum number of publications listed in a head: more than can complete while a publisher waits for a lost response.
 */
const MAXIMUM_RECENT_PUBLICATIONS = 32;

function isSamePart(left: PartReference, right: PartReference): boolean {
  return left.digest === right.digest && left.copy === right.copy;
}

/**
 * @param previous - Head of the current revision, if any.
 * @param draft - Parts of the new revision.
 * @param publicationId - Identifies this publication.
 * @param removed - Retired parts that have been removed from the store.
 * @returns Head of the new revision.
 * @internal
 */
export function buildHead(
  previous: ConfigurationHead | undefined,
  draft: Draft,
  publicationId: string,
  removed: readonly PartReference[],
): ConfigurationHead {
  const { manifest, newParts } = draft;
  const revision = (previous?.revision ?? 0) + 1;
  const keys = [...draft.keys];
  const recent = [...(previous?.recent ?? []), { revision, publicationId }];
  const newlyRetired = (previous === undefined ? [] : listParts(previous)).filter(
    (old) => ![manifest, ...keys].some((part) => isSamePart(part, old)),
  );
  const retired = (previous?.retired ?? []).filter(
    ({ part }) => !removed.some((removedPart) => isSamePart(removedPart, part)),
  );
  const hasNewKeys = newParts.some(({ reference }) => reference.kind === 'keys');
  return {
    revision,
    publicationId,
    manifest,
    keys,
    keySetRevision: hasNewKeys ? revision : (previous?.keySetRevision ?? 0),
    recent: recent.slice(-MAXIMUM_RECENT_PUBLICATIONS),
    retired: [...retired, ...newlyRetired.map((part) => ({ revision, part }))],
  };
}
