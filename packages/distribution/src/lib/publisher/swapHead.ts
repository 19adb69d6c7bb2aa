import type { Clock } from '@buckthornslip/common';

import type { ConfigurationHead } from '../revision/ConfigurationHead';
import { encodeHead } from '../revision/encodeHead';
import { HEAD_KEY } from '../revision/HEAD_KEY';
import type { ConfigurationStore } from '../store/ConfigurationStore';
import { mayHaveTakenEffect } from '../store/mayHaveTakenEffect';
import { readHead } from '../store/readHead';

const MAX_ATTEMPTS = 4;

/** Pause after the first attempt without a response, in milliseconds; it doubles each time. */
const INITIAL_BACKOFF_MILLISECONDS = 250;

/**
 * What became of the head that a publisher tried to write.
 *
 * @internal
 */
export type SwapOutcome =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'conflict'; readonly currentRevision: number }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'refused'; readonly reason: string };

/** Finds the publication among the recent ones of the head that is in the store now. */
async function findPublication(
  store: ConfigurationStore,
  attempted: ConfigurationHead,
): Promise<SwapOutcome> {
  const stored = await readHead(store);
  if (!stored.ok || stored.value === undefined) return { kind: 'unknown' };
  const { head } = stored.value;
  if (head.recent.some(({ publicationId }) => publicationId === attempted.publicationId)) {
    return { kind: 'accepted' };
  }
  const oldest = head.recent[0]?.revision ?? Infinity;
  const isSuperseded = head.revision >= attempted.revision && oldest <= attempted.revision;
  // While the head is the one that the publisher started from, a delayed write may still be accepted.
  return isSuperseded ? { kind: 'conflict', currentRevision: head.revision } : { kind: 'unknown' };
}

/**
 * Writes the head by compare-and-swap. A write without a response is repeated: the expected revision makes sure that at
 * most one of the repeats is accepted. Any conflict is checked against the head's recent publications, because the
 * conflict may be with an earlier repeat.
 *
 * @param store - The platform's store.
 * @param clock - Clock for the pauses.
 * @param head - The new head.
 * @param expectedRevision - Store revision of the head that it replaces; 0 for none.
 * @returns What became of the write.
 * @internal
 */
export async function swapHead(
  store: ConfigurationStore,
  clock: Clock,
  head: ConfigurationHead,
  expectedRevision: number,
): Promise<SwapOutcome> {
  const value = encodeHead(head);
  let isPossiblyWritten = false;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    if (attempt > 0) await clock.sleep(INITIAL_BACKOFF_MILLISECONDS * 2 ** (attempt - 1));
    const swapped = await store.compareAndSwap(HEAD_KEY, expectedRevision, value);
    if (swapped.ok) return { kind: 'accepted' };
    const { error } = swapped;
    if (error.kind === 'conflict') {
      const outcome = await findPublication(store, head);
      if (outcome.kind !== 'unknown') return outcome;
    } else if (!mayHaveTakenEffect(error)) {
      return isPossiblyWritten ? { kind: 'unknown' } : { kind: 'refused', reason: error.kind };
    }
    isPossiblyWritten = true;
  }
  return findPublication(store, head);
}
