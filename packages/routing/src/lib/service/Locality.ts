import type { TrackedMember } from '../members/TrackedMember';
import type { LocalityTotals } from './LocalityTotals';

/**
 * The members of a service at one distance (same zone, same region or another region) that may be chosen: ready, alive
 * and not ejected. Localities are rebuilt when members or ejections change, not for each choice.
 *
 * @internal
 */
export interface Locality extends LocalityTotals {
  readonly members: readonly TrackedMember[];
}
