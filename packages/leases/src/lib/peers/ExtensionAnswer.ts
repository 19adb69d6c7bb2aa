import type { NodeIdentity } from '@buckthornslip/common';

/**
 * Answer to a {@link ExtensionRequest}.
 *
 * @public
 */
export interface ExtensionAnswer {
  /** Whether the candidate granted the extension. */
  readonly promised: boolean;
  /** The node that answered. A later incarnation shows that the candidate has been superseded. */
  readonly responder: NodeIdentity;
}
