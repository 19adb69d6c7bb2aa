import { Observable, of, switchMap } from 'rxjs';

import { NO_STORE_ERA } from '../store/NO_STORE_ERA';
import { prefixRangeEnd } from '../store/prefixRangeEnd';
import type { StoreEvent } from '../store/StoreEvent';
import type { StoreRevision } from '../store/StoreRevision';
import type { EngineChange } from './EngineChange';
import type { StoreEngine } from './StoreEngine';
import type { StoreFaults } from './StoreFaults';

const toEvent = ({ key, revision, entry }: EngineChange): StoreEvent =>
  entry
    ? { kind: 'put', entry, era: entry.era }
    : { kind: 'removed', key, revision: revision as StoreRevision, era: NO_STORE_ERA };

/**
 * Watches a prefix in a storage engine; the watch is disconnected while the store is down.
 *
 * @internal
 */
export function createMemoryWatch(
  engine: StoreEngine,
  faults: StoreFaults,
  prefix: string,
  fromRevision: number,
): Observable<StoreEvent> {
  const rangeEnd = prefixRangeEnd(prefix);
  return new Observable<StoreEvent>((subscriber) => {
    let nextRevision = fromRevision > 0 ? fromRevision : engine.revision() + 1;
    const connected = new Observable<StoreEvent>((inner) => {
      const present = (): StoreRevision => engine.revision() as StoreRevision;
      inner.next({ kind: 'connected', revision: present(), era: NO_STORE_ERA });
      if (nextRevision <= engine.compactedRevision()) {
        const entries = engine.range(prefix, rangeEnd);
        nextRevision = engine.revision() + 1;
        inner.next({ kind: 'relisted', entries, revision: present(), era: NO_STORE_ERA });
      }
      return engine.watch(prefix, rangeEnd, nextRevision, (changes) => {
        nextRevision = Math.max(...changes.map((change) => change.revision)) + 1;
        changes.map(toEvent).forEach((event) => inner.next(event));
      });
    });
    return faults.downChanges
      .pipe(switchMap((down) => (down ? of<StoreEvent>({ kind: 'disconnected' }) : connected)))
      .subscribe(subscriber);
  });
}
