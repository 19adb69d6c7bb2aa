import { Observable, of, switchMap } from 'rxjs';

import { prefixRangeEnd } from '../store/prefixRangeEnd';
import type { StoreEra } from '../store/StoreEra';
import type { StoreEvent } from '../store/StoreEvent';
import type { StoreRevision } from '../store/StoreRevision';
import type { EngineChange } from './EngineChange';
import type { StoreEngine } from './StoreEngine';
import type { StoreFaults } from './StoreFaults';

const toEvent = ({ key, revision, entry }: EngineChange, era: StoreEra): StoreEvent =>
  entry
    ? { kind: 'put', entry, era }
    : { kind: 'removed', key, revision: revision as StoreRevision, era };

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
  fromEra: StoreEra = engine.era(),
): Observable<StoreEvent> {
  const rangeEnd = prefixRangeEnd(prefix);
  return new Observable<StoreEvent>((subscriber) => {
    let knownEra = fromEra;
    let nextRevision = fromRevision > 0 ? fromRevision : engine.revision() + 1;
    const connected = new Observable<StoreEvent>((inner) => {
      const present = (): StoreRevision => engine.revision() as StoreRevision;
      inner.next({ kind: 'connected', revision: present(), era: engine.era() });
      if (knownEra !== engine.era() || nextRevision <= engine.compactedRevision()) {
        knownEra = engine.era();
        const entries = engine.range(prefix, rangeEnd);
        nextRevision = engine.revision() + 1;
        inner.next({ kind: 'relisted', entries, revision: present(), era: engine.era() });
      }
      return engine.watch(prefix, rangeEnd, nextRevision, (changes) => {
        nextRevision = Math.max(...changes.map((change) => change.revision)) + 1;
        changes.forEach((change) => inner.next(toEvent(change, engine.era())));
      });
    });
    return faults.downChanges
      .pipe(switchMap((down) => (down ? of<StoreEvent>({ kind: 'disconnected' }) : connected)))
      .subscribe(subscriber);
  });
}
