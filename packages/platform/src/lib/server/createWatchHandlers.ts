import { status, type ServerDuplexStream } from '@grpc/grpc-js';
import { etcdProtocol } from '@buckthornslip/wire';

import type { EngineChange } from '../memory/EngineChange';
import { serviceError } from './serviceError';
import type { StoreServerContext } from './StoreServerContext';
import { toKeyValue } from './toKeyValue';

type WatchCall = ServerDuplexStream<etcdProtocol.WatchRequest, etcdProtocol.WatchResponse>;

function toEtcdEvent({ key, revision, entry }: EngineChange): etcdProtocol.Event {
  if (entry) return { type: etcdProtocol.Event_EventType.PUT, kv: toKeyValue(entry) };
  const kv = etcdProtocol.KeyValue.fromPartial({ key: Buffer.from(key), modRevision: revision });
  return { type: etcdProtocol.Event_EventType.DELETE, kv };
}

function startWatch(
  context: StoreServerContext,
  call: WatchCall,
  watchId: number,
  request: etcdProtocol.WatchCreateRequest,
): (() => void) | undefined {
  const { engine, calls } = context;
  const respond = (fields: Partial<etcdProtocol.WatchResponse>): void => {
    const header = { revision: engine.revision() };
    call.write(etcdProtocol.WatchResponse.fromPartial({ header, watchId, ...fields }));
  };
  calls.watch += 1;
  respond({ created: true });
  const rangeEnd = request.rangeEnd.length === 0 ? undefined : request.rangeEnd.toString();
  const cancel = engine.watch(request.key.toString(), rangeEnd, request.startRevision, (changes) =>
    respond({ events: changes.map(toEtcdEvent) }),
  );
  if (!cancel) respond({ canceled: true, compactRevision: engine.compactedRevision() });
  return cancel;
}

function handleWatch(context: StoreServerContext): (call: WatchCall) => void {
  return (call) => {
    const watches = new Map<number, () => void>();
    let nextWatchId = 0;
    const downSubscription = context.faults.downChanges.subscribe((down) => {
      if (down) call.emit('error', serviceError(status.UNAVAILABLE, 'the store is down'));
    });
    const stop = (): void => {
      downSubscription.unsubscribe();
      watches.forEach((cancel) => cancel());
      watches.clear();
    };
    call.on('data', ({ requestUnion }: etcdProtocol.WatchRequest) => {
      if (requestUnion?.$case === 'createRequest') {
        const cancel = startWatch(context, call, nextWatchId, requestUnion.value);
        if (cancel) watches.set(nextWatchId, cancel);
        nextWatchId += 1;
      } else if (requestUnion?.$case === 'cancelRequest') {
        const { watchId } = requestUnion.value;
        watches.get(watchId)?.();
        watches.delete(watchId);
      }
    });
    call.on('end', () => call.end());
    call.on('error', stop);
    call.on('close', stop);
    call.on('cancelled', stop);
  };
}

/**
 * Creates the handlers of the etcd service `Watch`.
 *
 * @internal
 */
export function createWatchHandlers(context: StoreServerContext): etcdProtocol.WatchServer {
  return { watch: handleWatch(context) };
}
