import type { Clock } from '@buckthornslip/common';

import { NO_STORE_ERA } from '../store/NO_STORE_ERA';
import type { StoreEra } from '../store/StoreEra';
import type { StoreRevision } from '../store/StoreRevision';
import { createEngineLeases } from './createEngineLeases';
import type { EngineChange } from './EngineChange';
import type { EngineEntry } from './EngineEntry';
import type { EngineMutation } from './EngineMutation';
import type { StoreEngine } from './StoreEngine';

/** Number of changes kept for watches that reconnect; older changes are compacted. */
const HISTORY_LIMIT = 10_000;

const isWithin = (key: string, start: string, rangeEnd: string | undefined): boolean =>
  rangeEnd === undefined ? key === start : key >= start && key < rangeEnd;

function putEntry(
  mutation: EngineMutation & { readonly kind: 'put' },
  revision: number,
  era: StoreEra,
  previous: EngineEntry | undefined,
): EngineEntry {
  return {
    key: mutation.key,
    value: mutation.value,
    revision: revision as StoreRevision,
    era,
    createRevision: previous?.createRevision ?? revision,
    version: (previous?.version ?? 0) + 1,
    leaseId: mutation.leaseId,
  };
}

/**
 * Creates an empty storage engine.
 *
 * @param clock - Clock for the expiry of leases.
 * @returns The engine at revision 1, like a new etcd store.
 * @internal
 */
export function createStoreEngine(clock: Clock): StoreEngine {
  const entries = new Map<string, EngineEntry>();
  let history: EngineChange[] = [];
  const listeners = new Set<(changes: readonly EngineChange[]) => void>();
  let revision = 1;
  let compactedRevision = 0;
  let era = NO_STORE_ERA;
  let lastLeaseId = 0;

  const compact = (upTo: number): void => {
    compactedRevision = Math.max(compactedRevision, Math.min(upTo, revision));
    while (history[0] && history[0].revision <= compactedRevision) history.shift();
  };

  const applyOne = (mutation: EngineMutation): EngineChange => {
    const { key } = mutation;
    const entry =
      mutation.kind === 'put' ? putEntry(mutation, revision, era, entries.get(key)) : undefined;
    if (entry) entries.set(key, entry);
    else entries.delete(key);
    return { key, revision, entry };
  };

  const apply = (mutations: readonly EngineMutation[]): void => {
    const effective = mutations.filter(({ kind, key }) => kind === 'put' || entries.has(key));
    if (effective.length === 0) return;
    revision += 1;
    const changes = effective.map(applyOne);
    history.push(...changes);
    listeners.forEach((listener) => listener(changes));
    const excess = history[history.length - HISTORY_LIMIT];
    if (excess) compact(excess.revision);
  };

  const removeKeysOf = (leaseId: number): void => {
    const owned = [...entries.values()].filter((entry) => entry.leaseId === leaseId);
    apply(owned.map(({ key }) => ({ kind: 'remove', key })));
  };

  const range = (key: string, rangeEnd?: string): readonly EngineEntry[] =>
    [...entries.values()]
      .filter((entry) => isWithin(entry.key, key, rangeEnd))
      .sort((left, right) => (left.key < right.key ? -1 : 1));

  const watch: StoreEngine['watch'] = (key, rangeEnd, fromRevision, listener) => {
    if (fromRevision > 0 && fromRevision <= compactedRevision) return undefined;
    const filtered = (changes: readonly EngineChange[]): void => {
      const matching = changes.filter((change) => isWithin(change.key, key, rangeEnd));
      if (matching.length > 0) listener(matching);
    };
    if (fromRevision > 0) filtered(history.filter((change) => change.revision >= fromRevision));
    listeners.add(filtered);
    return () => {
      listeners.delete(filtered);
    };
  };

  const leases = createEngineLeases(clock, removeKeysOf);

  const restore: StoreEngine['restore'] = (backup) => {
    era = (era + 1) as StoreEra;
    revision = backup.revision;
    lastLeaseId = backup.lastLeaseId;
    entries.clear();
    backup.entries.forEach((entry) => entries.set(entry.key, { ...entry, era }));
    history = history
      .filter((change) => change.revision <= revision)
      .map((change) => ({ ...change, entry: change.entry && { ...change.entry, era } }));
    compactedRevision = Math.min(compactedRevision, revision);
    leases.replaceLeases(backup.leases);
  };

  return {
    revision: () => revision,
    era: () => era,
    backUp: () => ({
      entries: [...entries.values()],
      revision,
      lastLeaseId,
      leases: leases.termsOfLeases(),
    }),
    restore,
    range,
    apply,
    compact,
    compactedRevision: () => compactedRevision,
    watch,
    nextLeaseId: () => {
      lastLeaseId += 1;
      return lastLeaseId;
    },
    hasLease: leases.hasLease,
    grantLease: leases.grantLease,
    keepAlive: leases.keepAlive,
    revokeLease: leases.revokeLease,
  };
}
