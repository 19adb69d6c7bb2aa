import type { Clock } from '@buckthornslip/common';
import type { InstallRevisionRequest } from '@buckthornslip/wire';
import { v4 as createUuid } from 'uuid';

import type { ConfigurationHead } from '../revision/ConfigurationHead';
import { encodeHead } from '../revision/encodeHead';
import { headSignature } from '../revision/headSignature';
import type { PartReference } from '../revision/PartReference';
import type { ConfigurationStore } from '../store/ConfigurationStore';
import type { StoredHead } from '../store/readHead';
import { readHead } from '../store/readHead';
import { buildHead } from './buildHead';
import type { DraftBuilder } from './DraftBuilder';
import type { Draft } from './Draft';
import type { NewPart } from './NewPart';
import type { PublicationRefusal } from './PublicationRefusal';
import type { PublicationResult } from './PublicationResult';
import { toReadRefusal } from './toReadRefusal';
import { removePart } from './removePart';
import { swapHead } from './swapHead';
import { writePart } from './writePart';

/** Number of revisions for which a retired part stays in the store, so that readers can finish fetching it. */
const RETAINED_REVISIONS = 2;

/**
 * Dependencies of a publication.
 *
 * @internal
 */
export interface PublishingContext {
  readonly store: ConfigurationStore;
  readonly clock: Clock;
  readonly fleetSecret: string;
}

function refused(refusal: PublicationRefusal): PublicationResult {
  return { kind: 'not-published', refusal };
}

async function removeRetired(
  store: ConfigurationStore,
  head: ConfigurationHead | undefined,
): Promise<readonly PartReference[]> {
  if (head === undefined) return [];
  const expired = head.retired.filter(
    ({ revision }) => revision <= head.revision - RETAINED_REVISIONS,
  );
  const removals = expired.map(async ({ part }) => ((await removePart(store, part)) ? [part] : []));
  return (await Promise.all(removals)).flat();
}

async function writeParts(
  store: ConfigurationStore,
  parts: readonly NewPart[],
): Promise<PublicationRefusal | undefined> {
  for (const part of parts) {
    const written = await writePart(store, part);
    if (!written.ok) return { kind: 'store-failed', reason: written.error.kind };
  }
  return undefined;
}

function createInstallRequest(
  head: ConfigurationHead,
  newParts: readonly NewPart[],
  fleetSecret: string,
): InstallRevisionRequest {
  const bytes = encodeHead(head);
  return {
    head: { head: bytes, signature: headSignature(bytes, fleetSecret) },
    parts: newParts.map(({ reference, compressed }) => ({ digest: reference.digest, compressed })),
  };
}

async function publishDraft(
  { store, clock, fleetSecret }: PublishingContext,
  current: StoredHead | undefined,
  draft: Draft,
  publicationId: string,
): Promise<PublicationResult> {
  const removeOwnParts = (): Promise<unknown> =>
    Promise.all(draft.newParts.map(({ reference }) => removePart(store, reference)));
  const writeRefusal = await writeParts(store, draft.newParts);
  if (writeRefusal !== undefined) {
    await removeOwnParts();
    return refused(writeRefusal);
  }
  const removed = await removeRetired(store, current?.head);
  const head = buildHead(current?.head, draft, publicationId, removed);
  const { revision } = head;
  const outcome = await swapHead(store, clock, head, current?.storeRevision ?? 0);
  switch (outcome.kind) {
    case 'accepted': {
      const install = createInstallRequest(head, draft.newParts, fleetSecret);
      return { kind: 'published', revision, isUnchanged: false, install };
    }
    case 'unknown':
      return { kind: 'unknown', revision, publicationId };
    case 'conflict':
      await removeOwnParts();
      return { kind: 'conflict', currentRevision: outcome.currentRevision };
    default:
      await removeOwnParts();
      return refused({ kind: 'store-failed', reason: outcome.reason });
  }
}

/**
 * Publishes the next revision: writes the new parts, then updates the head by compare-and-swap.
 *
 * @param context - Store, clock and fleet secret.
 * @param buildDraft - Builds the draft of the next revision.
 * @param requiredRevision - If given, the publication fails unless this is the current revision.
 * @returns The result of the publication.
 * @internal
 */
export async function publishRevision(
  context: PublishingContext,
  buildDraft: DraftBuilder,
  requiredRevision?: number,
): Promise<PublicationResult> {
  const publicationId = createUuid();
  const current = await readHead(context.store);
  if (!current.ok) return refused(toReadRefusal(current.error));
  const currentRevision = current.value?.head.revision ?? 0;
  if (requiredRevision !== undefined && requiredRevision !== currentRevision) {
    return { kind: 'conflict', currentRevision };
  }
  const draft = await buildDraft(current.value, publicationId);
  if (!draft.ok) return refused(draft.error);
  if (draft.value === undefined) {
    const install = undefined;
    return { kind: 'published', revision: currentRevision, isUnchanged: true, install };
  }
  return publishDraft(context, current.value, draft.value, publicationId);
}
