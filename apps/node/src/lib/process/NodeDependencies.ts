import type { CallPathDependencies } from '@buckthornslip/calls';
import type { NodeIdentity } from '@buckthornslip/common';

/**
 * What every part of a node needs.
 *
 * @internal
 */
export interface NodeDependencies extends CallPathDependencies {
  readonly identity: NodeIdentity;
}
