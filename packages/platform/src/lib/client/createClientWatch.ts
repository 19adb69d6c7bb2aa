import { Observable, type Subscriber } from 'rxjs';

import { prefixRangeEnd } from '../store/prefixRangeEnd';
import type { StoreEvent } from '../store/StoreEvent';
import { runRange } from './runRange';
import { runWatchStream } from './runWatchStream';
import type { StoreConnection } from './StoreConnection';

/** Delay before a watch reconnects, in milliseconds, so that an unavailable store is not flooded. */
const RECONNECT_PAUSE_MILLISECONDS = 250;

async function relist(
  connection: StoreConnection,
  prefix: string,
  subscriber: Subscriber<StoreEvent>,
): Promise<number | undefined> {
  const listing = await runRange(connection, prefix, prefixRangeEnd(prefix));
  if (!listing.ok || subscriber.closed) return undefined;
  subscriber.next({ kind: 'relisted', ...listing.value });
  return listing.value.revision + 1;
}

async function runWatch(
  connection: StoreConnection,
  prefix: string,
  fromRevision: number,
  subscriber: Subscriber<StoreEvent>,
  signal: AbortSignal,
): Promise<void> {
  let nextRevision = fromRevision;
  let isConnected = false;
  const emit = (event: StoreEvent): void => {
    if (event.kind === 'connected') isConnected = true;
    if (event.kind === 'disconnected') isConnected = false;
    subscriber.next(event);
  };
  while (!signal.aborted) {
    const endpoint = connection.current();
    const end = await runWatchStream({ endpoint, prefix, nextRevision, emit, signal });
    nextRevision = end.nextRevision;
    const relistedRevision = end.isCompacted
      ? await relist(connection, prefix, subscriber)
      : undefined;
    if (relistedRevision !== undefined) {
      nextRevision = relistedRevision;
    } else if (!signal.aborted) {
      if (isConnected) emit({ kind: 'disconnected' });
      connection.reportFailure(endpoint);
      await connection.clock.sleep(RECONNECT_PAUSE_MILLISECONDS, signal);
    }
  }
}

/**
 * Watches a prefix. The watch reconnects from the last revision received and lists the prefix again if that
 * revision has been compacted.
 *
 * @internal
 */
export function createClientWatch(
  connection: StoreConnection,
  prefix: string,
  fromRevision: number,
): Observable<StoreEvent> {
  return new Observable((subscriber) => {
    const controller = new AbortController();
    void runWatch(connection, prefix, fromRevision, subscriber, controller.signal).catch(
      (error: unknown) => subscriber.error(error),
    );
    return () => controller.abort();
  });
}
