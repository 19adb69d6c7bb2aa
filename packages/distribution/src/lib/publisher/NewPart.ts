import type { PartReference } from '../revision/PartReference';

/**
 * A part that a publication writes to the store before it updates the head.
 *
 * @internal
 */
export interface NewPart {
  readonly reference: PartReference;
  readonly compressed: Buffer;
}
