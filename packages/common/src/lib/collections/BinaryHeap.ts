/**
 * A priority queue that yields its smallest item first.
 *
 * @public
 */
export interface BinaryHeap<Item> {
  readonly size: () => number;
  readonly peek: () => Item | undefined;
  readonly push: (item: Item) => void;
  readonly pop: () => Item | undefined;
}
