import type { BinaryHeap } from './BinaryHeap';

/**
 * Creates a binary heap.
 *
 * @param isBefore - Whether the first item is yielded before the second.
 * @returns An empty heap.
 * @public
 */
export function createBinaryHeap<Item>(
  isBefore: (first: Item, second: Item) => boolean,
): BinaryHeap<Item> {
  const items: Item[] = [];

  const swapIfBefore = (child: number, parent: number): boolean => {
    const childItem = items[child] as Item;
    const parentItem = items[parent] as Item;
    if (!isBefore(childItem, parentItem)) return false;
    items[child] = parentItem;
    items[parent] = childItem;
    return true;
  };

  const siftUp = (start: number): void => {
    let index = start;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!swapIfBefore(index, parent)) return;
      index = parent;
    }
  };

  const siftDown = (): void => {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      if (left >= items.length) return;
      const hasRight = right < items.length;
      const smaller =
        hasRight && isBefore(items[right] as Item, items[left] as Item) ? right : left;
      if (!swapIfBefore(smaller, index)) return;
      index = smaller;
    }
  };

  return {
    size: () => items.length,
    peek: () => items[0],
    push: (item) => {
      items.push(item);
      siftUp(items.length - 1);
    },
    pop: () => {
      const first = items[0];
      const last = items.pop();
      if (items.length > 0) {
        items[0] = last as Item;
        siftDown();
      }
      return first;
    },
  };
}
