import type { EvacuationStatement } from './EvacuationStatement';

/** When a statement was read, or a change was made. */
type StoreMoment = Pick<EvacuationStatement, 'era' | 'revision'>;

/**
 * @param left - A moment of the store.
 * @param right - Another one.
 * @returns A negative number if the left one is earlier, a positive one if it is later.
 * @internal
 */
export function compareStatements(left: StoreMoment, right: StoreMoment): number {
  return left.era - right.era || left.revision - right.revision;
}
