import { createHash } from 'node:crypto';

import type { AccountId, KeyId } from '@buckthornslip/common';
import type { Manifest } from '@buckthornslip/config';
import type { ConfigurationSnapshot, KeyRecord } from '@buckthornslip/distribution';
import { Subject } from 'rxjs';

import type { KeyTable, SharedFleetState } from './SharedFleetState';

function digestOf(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/**
 * Creates the shared state of test nodes.
 *
 * @param manifest - Initial manifest.
 * @returns The state, with no keys and no members.
 * @public
 */
export function createSharedFleetState(manifest: Manifest): SharedFleetState {
  const snapshots = new Subject<ConfigurationSnapshot>();
  let current: ConfigurationSnapshot = { revision: 1, manifest, keys: new Map() };
  let fresh = true;
  const applyChange = (changed: {
    readonly manifest?: Manifest;
    readonly keys?: KeyTable;
  }): void => {
    current = { ...current, ...changed, revision: current.revision + 1 };
    snapshots.next(current);
  };
  const setKey = (key: string, account: string, state: KeyRecord['state']): void => {
    const digest = digestOf(key);
    const id = digest.slice(0, 8) as KeyId;
    const record: KeyRecord = { id, account: account as AccountId, digest, state };
    applyChange({ keys: new Map(current.keys).set(digest, record) });
  };
  return {
    configuration: { current: () => current, snapshots, isFresh: () => fresh },
    publish: (published) => applyChange({ manifest: published }),
    grant: (key, account) => setKey(key, account, 'granted'),
    withdraw: (key) => setKey(key, current.keys.get(digestOf(key))?.account ?? '', 'withdrawn'),
    setFresh: (isFresh) => {
      fresh = isFresh;
    },
    members: new Map(),
    suspected: [],
    bindings: new Map(),
  };
}
