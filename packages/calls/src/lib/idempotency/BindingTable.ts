import type { Binding } from './Binding';
import type { UnknownRange } from './UnknownRange';

/**
 * A bounded table of the bindings of one partition, with the range of keys whose earlier use is unknown.
 *
 * @internal
 */
export interface BindingTable {
  readonly find: (scopedKey: string) => Binding | undefined;

  /**
   * Stores a binding, unless the table has a newer one of the same key.
   *
   * @returns False when the table is full of bindings that must not be removed.
   */
  readonly store: (binding: Binding) => boolean;

  /** @returns Whether an earlier use of a key without a binding cannot be ruled out. */
  readonly isUnknown: (scopedKey: string) => boolean;

  readonly unknownRange: () => UnknownRange;

  /** Extends the range of unknown keys. It never shrinks. */
  readonly widenUnknownRange: (range: UnknownRange) => void;

  readonly all: () => readonly Binding[];
}
