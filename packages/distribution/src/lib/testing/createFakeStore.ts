import { failure, success } from '@buckthornslip/common';
import { Subject } from 'rxjs';

import type { ConfigurationStore } from '../store/ConfigurationStore';
import type { StoredValue } from '../store/StoredValue';

/** Outcome injected into one call: it works, its response is lost, the request is lost, or it takes effect late. */
export type InjectedOutcome = 'works' | 'response-lost' | 'lost' | 'late';

/** In-memory store. `decide` chooses the outcome of each call; the effect of a late call is passed to `postpone`. */
export function createFakeStore(
  decide: (call: string) => Promise<InjectedOutcome> | InjectedOutcome = () => 'works',
  postpone: (effect: () => void) => void = () => undefined,
): ConfigurationStore & {
  readonly values: ReadonlyMap<string, StoredValue>;
  /** All values that were written to the head, in order. */
  readonly heads: Uint8Array[];
} {
  const values = new Map<string, StoredValue>();
  const heads: Uint8Array[] = [];
  const changes = new Subject<string>();
  let revision = 0;

  const call = async <Value>(name: string, run: () => Value) => {
    const outcome = await decide(name);
    if (outcome === 'works') return run();
    if (outcome === 'response-lost') run();
    if (outcome === 'late') postpone(run);
    return failure({ kind: 'timeout' });
  };

  const swap = (key: string, expected: number, value?: Uint8Array) => {
    if ((values.get(key)?.revision ?? 0) !== expected) return failure({ kind: 'conflict' });
    revision += 1;
    if (value === undefined) values.delete(key);
    else values.set(key, { key, value, revision });
    if (key === 'config/head' && value !== undefined) heads.push(value);
    changes.next(key);
    return success(revision);
  };

  return {
    values,
    heads,
    get: (key) => call(`get ${key}`, () => success(values.get(key))),
    list: (prefix) =>
      call(`list ${prefix}`, () =>
        success([...values.values()].filter(({ key }) => key.startsWith(prefix))),
      ),
    compareAndSwap: (key, expected, value) => call(`swap ${key}`, () => swap(key, expected, value)),
    remove: (key, expected) => call(`remove ${key}`, () => swap(key, expected)),
    watch: () => changes,
  };
}
