/**
 * Keeps a result until the data that it is computed from change. Requests ask for lists of nodes far more often than nodes
 * change.
 *
 * @param revision - Number that grows with each change of the data.
 * @param compute - Computes the result.
 * @returns A function that computes only after a change.
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
