import type { Result } from '@buckthornslip/common';
import { success } from '@buckthornslip/common';

import type { ConfigurationHead } from '../revision/ConfigurationHead';
import { listParts } from '../revision/listParts';
import type { RevisionError } from '../revision/RevisionError';
import type { ConfigurationStore } from '../store/ConfigurationStore';
import type { ConfigurationStoreError } from '../store/ConfigurationStoreError';
import { readHead } from '../store/readHead';
import { readPart } from '../store/readPart';
import type { FollowerOptions } from './FollowerOptions';
import type { FollowerState } from './FollowerState';

async function readNewParts(
  store: ConfigurationStore,
  head: ConfigurationHead,
  known: ReadonlyMap<string, Uint8Array> | undefined,
): Promise<Result<ReadonlyMap<string, Uint8Array>, ConfigurationStoreError | RevisionError>> {
  const parts = new Map<string, Uint8Array>();
  for (const part of listParts(head)) {
    if (known?.has(part.digest) !== true) {
      const compressed = await readPart(store, part);
      if (!compressed.ok) return compressed;
      parts.set(part.digest, compressed.value);
    }
  }
  return success(parts);
}

/**
 * Reads the head from the store and, if its revision is newer, the parts that this node lacks.
 *
 * @param options - The follower's options.
 * @param state - The follower's state.
 * @returns Whether the store answered.
 * @internal
 */
export async function pollStore(options: FollowerOptions, state: FollowerState): Promise<boolean> {
  const { clock, logger, store } = options;
  const sentAt = clock.monotonicMilliseconds();
  const inForce = state.currentRevision();
  const stored = await readHead(store);
  if (!stored.ok) {
    if (stored.error.kind !== 'head-malformed') return false;
    state.reject({ kind: 'head-malformed' }, 'store');
    return true;
  }
  if (stored.value === undefined) return true;
  const { head, headBytes } = stored.value;
  if (head.revision < inForce) {
    logger.log('storeRevisionLower', { stored: head.revision, inForce });
    return true;
  }
  state.confirm(head.revision);
  state.recordFreshness({ revision: head.revision, confirmedAt: sentAt, syncedAt: new Map() });
  if (head.revision <= state.currentRevision()) return true;
  const parts = await readNewParts(store, head, state.newest()?.parts);
  if (!parts.ok) {
    logger.log('revisionIncomplete', { source: 'store', error: parts.error });
    return true;
  }
  const accepted = state.accept(head, headBytes, parts.value);
  if (!accepted.ok) state.reject(accepted.error, 'store');
  return true;
}
