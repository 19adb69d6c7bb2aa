import type { Liveness } from './Liveness';
import type { Member } from './Member';

/**
 * The record of a member that nodes exchange. Only the node itself writes its record. Other nodes change
 * only the liveness, which the node can refute with a higher version.
 *
 * @public
 */
export interface MemberRecord extends Omit<Member, 'alive'> {
  readonly liveness: Liveness;
}
