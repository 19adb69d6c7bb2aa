import type { PartReference } from './PartReference';

/**
 * Each publication writes its own copies. A copy that the head no longer refers to is never used again, so removing it
 * cannot delete a value that a concurrent publisher relies on.
 *
 * @param part - A part of a revision.
 * @returns Store keys of its chunks, in order.
 * @internal
 */
export function partKeys(part: PartReference): readonly string[] {
  return Array.from(
    { length: part.chunks },
    (_, index) => `config/${part.kind}/${part.digest}/${part.copy}.${index}`,
  );
}
