import type { Clock, ZoneId } from '@buckthornslip/common';
import type { StoreEvent } from '@buckthornslip/platform';
import type { EventLogger } from '@buckthornslip/telemetry';
import { Subject } from 'rxjs';

import { compareStatements } from './compareStatements';
import { createRetainedZones } from './createRetainedZones';
import type { EvacuationOrders } from './EvacuationOrders';
import type { EvacuationStatement } from './EvacuationStatement';
import { isZoneName } from './isZoneName';

/** Dependencies and settings of the orders. */
interface EvacuationOrdersOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  /** Prefix of the keys of orders; the name of the zone follows it. */
  readonly keyPrefix: string;
  /** Time for which an order of an earlier era of the store stays in force without having been written again. */
  readonly retentionMilliseconds: number;
}

function isSameSet<Value>(left: ReadonlySet<Value>, right: ReadonlySet<Value>): boolean {
  return left.size === right.size && [...left].every((value) => right.has(value));
}

function minus<Value>(left: ReadonlySet<Value>, right: ReadonlySet<Value>): Value[] {
  return [...left].filter((value) => !right.has(value));
}

/**
 * Creates a node's knowledge of the evacuated zones. The statement with the newest era and revision of the store counts, from
 * whichever node it comes. A node without contact keeps its last statement.
 *
 * @param options - Clock, logger, prefix of the keys and retention.
 * @returns The orders, not known yet.
 * @internal
 */
export function createEvacuationOrders(options: EvacuationOrdersOptions): EvacuationOrders {
  const { clock, keyPrefix, logger } = options;
  const changes = new Subject<ReadonlySet<ZoneId>>();
  let current: EvacuationStatement | undefined;
  let inForce: ReadonlySet<ZoneId> = new Set();
  let published: ReadonlySet<ZoneId> | undefined;
  let source = '';
  let isPublishing = false;
  let rejectedKeys = new Set<string>();

  const publish = (): void => {
    isPublishing = false;
    if (published && isSameSet(published, inForce)) return;
    const fields = { source, era: current?.era, revision: current?.revision };
    const previous = published ?? new Set();
    minus(inForce, previous).forEach((zone) =>
      logger.log('evacuationOrdered', { zone, ...fields }),
    );
    minus(previous, inForce).forEach((zone) => logger.log('evacuationEnded', { zone, ...fields }));
    published = inForce;
    changes.next(inForce);
  };

  const retained = createRetainedZones(clock, options.retentionMilliseconds, () => update());

  /**
   * Changes are published after all events of a response have been applied. If one transaction changes several orders, a
   * message between two of them would carry an incomplete set with the revision of the complete one.
   */
  function update(): void {
    inForce = new Set([...(current?.zones ?? []), ...retained.zones()]);
    if (isPublishing) return;
    isPublishing = true;
    queueMicrotask(publish);
  }

  const setStatement = (next: EvacuationStatement, from: string): void => {
    if (current && next.era > current.era) {
      const missing = minus(current.zones, next.zones);
      retained.retain(missing);
      missing.forEach((zone) =>
        logger.log('evacuationRetained', { zone, era: next.era, previousEra: current?.era }),
      );
    }
    retained.release(next.zones);
    current = next;
    source = from;
    update();
  };

  /** @returns The name in the key of an order; undefined for other keys. */
  const nameOf = (key: string): string | undefined =>
    key.startsWith(keyPrefix) ? key.slice(keyPrefix.length) : undefined;

  const reject = (key: string): void => {
    if (!rejectedKeys.has(key)) logger.log('evacuationKeyRejected', { key });
  };

  const zonesOf = (keys: readonly string[]): ReadonlySet<ZoneId> => {
    const orders = keys.filter((key) => nameOf(key) !== undefined);
    const unreadable = orders.filter((key) => !isZoneName(nameOf(key) as string));
    unreadable.forEach(reject);
    rejectedKeys = new Set(unreadable);
    return new Set(minus(new Set(orders), rejectedKeys).map((key) => nameOf(key) as ZoneId));
  };

  const changeZone = (key: string, isOrdered: boolean): void => {
    const zones = new Set(current?.zones);
    const zone = nameOf(key) as ZoneId;
    const keys = new Set(rejectedKeys);
    if (isZoneName(zone)) {
      zones[isOrdered ? 'add' : 'delete'](zone);
    } else if (isOrdered) {
      reject(key);
      keys.add(key);
    } else keys.delete(key);
    rejectedKeys = keys;
    current = { ...(current as EvacuationStatement), zones };
  };

  const apply = (event: StoreEvent & { readonly kind: 'put' | 'removed' }): void => {
    const { key, revision } = event.kind === 'put' ? event.entry : event;
    if (nameOf(key) === undefined || !current) return;
    const moment = { era: event.era, revision };
    // The statement may come from another node that has read the store later than this one.
    if (moment.era !== current.era || compareStatements(moment, current) < 0) return;
    changeZone(key, event.kind === 'put');
    setStatement({ ...current, ...moment }, 'store');
  };

  return {
    statement: () => current,
    zones: () => inForce,
    changes,
    unreadableKeys: () => rejectedKeys.size,
    learn: (statement, from) => {
      if (!current || compareStatements(statement, current) > 0) setStatement(statement, from);
    },
    replace: (listing, before) => {
      const zones = zonesOf(listing.entries.map(({ key }) => key));
      const next = { era: listing.era, revision: listing.revision, zones };
      const isLater = !current || compareStatements(next, current) >= 0;
      const isWrong = current === before && current?.era === next.era;
      if (isLater || isWrong) setStatement(next, 'store');
    },
    apply,
    close: retained.close,
  };
}
