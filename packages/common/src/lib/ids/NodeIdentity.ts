import type { HostId } from './HostId';
import type { Incarnation } from './Incarnation';

/**
 * Identifies a node process by its host and incarnation.
 *
 * @public
 */
export interface NodeIdentity {
  readonly host: HostId;
  readonly incarnation: Incarnation;
}
