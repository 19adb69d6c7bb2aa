import { success } from '@buckthornslip/common';
import type { Store } from '@buckthornslip/platform';
import { filter, fromEvent, takeUntil } from 'rxjs';

import type { ConfigurationStore } from './ConfigurationStore';

/**
 * Adapts the platform's store to the interface of the publisher and the follower.
 *
 * @param store - The platform's store.
 * @returns The adapter.
 * @public
 */
export function toConfigurationStore(store: Store): ConfigurationStore {
  return {
    get: store.get,
    list: async (prefix) => {
      const listing = await store.list(prefix);
      return listing.ok ? success(listing.value.entries) : listing;
    },
    compareAndSwap: store.compareAndSwap,
    remove: store.remove,
    watch: (prefix, fromRevision, signal) =>
      store.watch(prefix, fromRevision).pipe(
        // Disconnections are ignored: after reconnecting, the watch delivers the changes that it missed.
        filter((event) => event.kind !== 'disconnected'),
        takeUntil(fromEvent(signal, 'abort')),
      ),
  };
}
