import type { PartReference } from '../revision/PartReference';
import { partKeys } from '../revision/partKeys';
import type { ConfigurationStore } from '../store/ConfigurationStore';

/**
 * Removes the chunks of a part that no current or later head refers to.
 *
 * @param store - The platform's store.
 * @param part - The part.
 * @returns Whether all chunks are known to be removed.
 * @internal
 */
export async function removePart(store: ConfigurationStore, part: PartReference): Promise<boolean> {
  let isRemoved = true;
  for (const key of partKeys(part)) {
    const entry = await store.get(key);
    if (!entry.ok) isRemoved = false;
    else if (entry.value !== undefined) {
      const removed = await store.remove(key, entry.value.revision);
      isRemoved = isRemoved && removed.ok;
    }
  }
  return isRemoved;
}
