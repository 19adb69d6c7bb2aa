import type { LeaseResponder } from '../peers/LeaseResponder';
import type { LeaseManager } from './LeaseManager';

/**
 * A lease manager that also answers requests of other nodes.
 *
 * @public
 */
export interface RunningLeaseManager extends LeaseManager, LeaseResponder {
  /** Stops without a handover: leases end here at once, and other nodes wait for their terms to expire. */
  readonly close: () => void;
}
