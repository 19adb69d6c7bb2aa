import { etcdProtocol } from '@buckthornslip/wire';

import { prefixRangeEnd } from '../store/prefixRangeEnd';
import { NO_STORE_ERA } from '../store/NO_STORE_ERA';
import type { StoreEvent } from '../store/StoreEvent';
import type { StoreRevision } from '../store/StoreRevision';
import type { StoreEndpoint } from './StoreEndpoint';
import { toStoreEntry } from './toStoreEntry';

function toStoreEvents(event: etcdProtocol.Event): StoreEvent[] {
  if (!event.kv) return [];
  const entry = toStoreEntry(event.kv);
  if (event.type === etcdProtocol.Event_EventType.PUT)
    return [{ kind: 'put', entry, era: entry.era }];
  return [{ kind: 'removed', key: entry.key, revision: entry.revision, era: entry.era }];
}

/** How a watch stream ended. */
interface WatchStreamEnd {
  readonly nextRevision: number;
  readonly isCompacted: boolean;
}

/**
 * Runs one watch stream until it fails, its revision is compacted, or the signal is aborted.
 *
 * @returns The revision from which the next stream continues; 0 if the store has not accepted the watch.
 * @internal
 */
export function runWatchStream(options: {
  readonly endpoint: StoreEndpoint;
  readonly prefix: string;
  readonly nextRevision: number;
  readonly emit: (event: StoreEvent) => void;
  readonly signal: AbortSignal;
}): Promise<WatchStreamEnd> {
  const { endpoint, prefix, emit, signal } = options;
  let { nextRevision } = options;
  return new Promise((resolve) => {
    const call = endpoint.watch.watch();
    const cancel = (): void => call.cancel();
    const finish = (isCompacted: boolean): void => {
      signal.removeEventListener('abort', cancel);
      call.cancel();
      resolve({ nextRevision, isCompacted });
    };
    const receive = (response: etcdProtocol.WatchResponse): void => {
      const revision = (response.header?.revision ?? 0) as StoreRevision;
      if (response.created) {
        emit({ kind: 'connected', revision, era: NO_STORE_ERA });
        if (nextRevision === 0) nextRevision = revision + 1;
      }
      response.events.flatMap(toStoreEvents).forEach(emit);
      // All events of one revision arrive in one response, so the next stream can start after it.
      const revisions = response.events.map((event) => event.kv?.modRevision ?? 0);
      if (revisions.length > 0) nextRevision = Math.max(nextRevision, ...revisions) + 1;
      if (response.canceled) finish(response.compactRevision > 0);
    };
    signal.addEventListener('abort', cancel, { once: true });
    call.on('data', receive);
    call.on('error', () => finish(false));
    call.on('end', () => finish(false));
    call.write({
      requestUnion: {
        $case: 'createRequest',
        value: {
          key: Buffer.from(prefix),
          rangeEnd: Buffer.from(prefixRangeEnd(prefix)),
          startRevision: nextRevision,
        },
      },
    });
  });
}
