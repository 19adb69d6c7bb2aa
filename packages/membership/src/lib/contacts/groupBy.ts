/**
 * @param items - Items.
 * @param keyOf - Returns the key of an item.
 * @returns The items by key.
 * @internal
 */
export function groupBy<Key, Item>(
  items: readonly Item[],
  keyOf: (item: Item) => Key,
): ReadonlyMap<Key, readonly Item[]> {
  const groups = new Map<Key, Item[]>();
  items.forEach((item) => {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group) group.push(item);
    else groups.set(key, [item]);
  });
  return groups;
}
