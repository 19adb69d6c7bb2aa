import type { PartReference } from '../revision/PartReference';
import type { NewPart } from './NewPart';

/**
 * The parts of a revision that is about to be published.
 *
 * @internal
 */
export interface Draft {
  readonly manifest: PartReference;
  readonly keys: readonly PartReference[];
  /** Content of the parts that are not in the store yet. */
  readonly newParts: readonly NewPart[];
}
