/**
 * Caches a result until the data from which it is computed change. Requests read member lists far more often than
 * members change.
 *
 * @param revision - Returns a number that increases with each change of the data.
 * @param compute - Computes the result.
 * @returns A function that recomputes the result only after a change.
 * @internal
 */
export function memoizeByRevision<Value>(
  revision: () => number,
  compute: () => Value,
): () => Value {
  let known: { readonly revision: number; readonly value: Value } | undefined;
  return () => {
    const current = revision();
    if (known?.revision !== current) known = { revision: current, value: compute() };
    return known.value;
  };
}
