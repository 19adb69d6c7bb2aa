import type { AccountId, PartitionId } from '@buckthornslip/common';

import type { GrantRequest } from '../messages/GrantRequest';
import type { GrantResponse } from '../messages/GrantResponse';

/**
 * Response of the holder in charge, or that there is none.
 *
 * @internal
 */
export type TokenServerAnswer =
  Extract<GrantResponse, { readonly kind: 'granted' | 'empty' }> | { readonly kind: 'unavailable' };

/**
 * Finds the holder of an account's share and asks it.
 *
 * @internal
 */
export interface TokenServerClient {
  /**
   * @param account - The account.
   * @param describe - Builds the request for a partition just before it is sent.
   * @param onAnswer - Receives each answer with its request and the time at which it was sent.
   * @returns The last answer.
   */
  readonly requestTokens: (
    account: AccountId,
    buildRequest: (
      partition: PartitionId,
    ) => Omit<GrantRequest, 'partition' | 'account' | 'region'>,
    onAnswer: (answered: AnsweredRequest) => void,
  ) => Promise<TokenServerAnswer>;
  /** @returns Partition whose holder is in charge, as far as this node knows. */
  readonly partitionOf: (account: AccountId) => PartitionId;
}

/**
 * A request that was answered by a holder.
 *
 * @internal
 */
export interface AnsweredRequest {
  readonly request: GrantRequest;
  readonly response: GrantResponse;
  readonly sentMilliseconds: number;
}
