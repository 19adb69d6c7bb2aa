import type { RootCallId } from '@buckthornslip/common';

/**
 * Client of the nodes that hold the retry budgets of other root calls.
 *
 * @public
 */
export interface RetryPeers {
  /**
   * Spends one retry of a root call's budget at its node. Sent only once: a lost response only wastes the retry.
   *
   * @param controlAddress - "address:port" of the root node's gRPC listener.
   * @param rootCallId - The root call.
   * @returns Whether it was granted, or undefined when there was no answer.
   */
  readonly spendRetry: (
    controlAddress: string,
    rootCallId: RootCallId,
  ) => Promise<boolean | undefined>;
}
