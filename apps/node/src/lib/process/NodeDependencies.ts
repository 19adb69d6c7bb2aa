import type { CallPathDependencies } from '@buckthornslip/calls';
import type { NodeIdentity } from '@buckthornslip/common';

/**
 * Dependencies shared by all components of a node.
 *
 * @internal
 */
export interface NodeDependencies extends CallPathDependencies {
  readonly identity: NodeIdentity;
}
