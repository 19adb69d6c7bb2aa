import type { Result } from '@buckthornslip/common';

import type { CallContext } from './CallContext';
import type { ContextError } from './ContextError';

/**
 * Signs and verifies call contexts.
 *
 * @public
 */
export interface ContextSigner {
  /** @returns Value of the context header. */
  readonly sign: (context: CallContext, purpose: 'peer' | 'upstream') => string;

  /**
   * @param header - Value of the context header.
   * @param purpose - "peer" for forwarded calls, "upstream" for an upstream's outgoing calls. A context signed for
   *   one purpose is not valid for the other, so that an upstream cannot impersonate a node.
   * @returns The context, with its deadline on this host's wall clock.
   */
  readonly verify: (
    header: string | undefined,
    purpose: 'peer' | 'upstream',
  ) => Result<CallContext, ContextError>;
}
