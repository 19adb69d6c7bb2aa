import type { Clock } from '@buckthornslip/common';

import type { ConfigurationHead } from '../revision/ConfigurationHead';
import { encodeHead } from '../revision/encodeHead';
import { HEAD_KEY } from '../revision/HEAD_KEY';
import type { ConfigurationStore } from '../store/ConfigurationStore';
import { mayHaveTakenEffect } from '../store/mayHaveTakenEffect';
import { readHead } from '../store/readHead';

const MAXIMUM_ATTEMPTS = 4;

/** Delay after the first attempt without a response, in milliseconds. It doubles with each attempt. */
const INITIAL_BACKOFF_MILLISECONDS = 250;

/**
 * Outcome of an attempt to replace the head.
 *
 * @internal
 */
export type SwapOutcome =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'conflict'; readonly currentRevision: number }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'refused'; readonly reason: string };

/** Looks for the publication among the recent publications of the head that is now in the store. */
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
  // While the store still has the head that the publisher started from, a delayed write may still be accepted.
  return isSuperseded ? { kind: 'conflict', currentRevision: head.revision } : { kind: 'unknown' };
}

/**
 * Writes the head by compare-and-swap. A write without a response is retried; the expected revision ensures that at
 * most one attempt is accepted. After a conflict, the head's recent publications show whether an earlier attempt of
 * this publication caused it.
 *
 * @param store - The platform's store.
 * @param clock - Clock for the retry delays.
 * @param head - The new head.
 * @param expectedRevision - Store revision of the head to replace; 0 if there is none.
 * @returns The outcome of the write.
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
  for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
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
