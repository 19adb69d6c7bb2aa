import type { NodeIdentity } from '@buckthornslip/common';

/**
 * Answer to a {@link ExtensionRequest}.
 *
 * @public
 */
export interface ExtensionAnswer {
  readonly promised: boolean;
  /** The node that answered. A later incarnation proves that the candidate asked is gone. */
  readonly responder: NodeIdentity;
}
