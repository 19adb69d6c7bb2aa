import type { CallPolicy } from '@buckthornslip/config';

import type { PolicyFault } from './PolicyFault';

/**
 * A decoded policy, and the faults of its fields that were replaced by safe values.
 *
 * @public
 */
export interface DecodedPolicy {
  readonly policy: CallPolicy;
  readonly faults: readonly PolicyFault[];
}
