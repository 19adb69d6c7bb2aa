import type { AccountId, PartitionId } from '@buckthornslip/common';

import type { GrantRequest } from '../messages/GrantRequest';
import type { GrantResponse } from '../messages/GrantResponse';

/**
 * Response of the responsible token server, or `unavailable` if none answered.
 *
 * @internal
 */
export type TokenServerAnswer =
  Extract<GrantResponse, { readonly kind: 'granted' | 'empty' }> | { readonly kind: 'unavailable' };

/**
 * Finds the token server of an account and requests tokens from it.
 *
 * @internal
 */
export interface TokenServerClient {
  /**
   * @param account - The account.
   * @param buildRequest - Builds the request for a partition just before it is sent.
   * @param onAnswer - Called with each answer, its request and the time at which the request was sent.
   * @returns The last answer.
   */
  readonly requestTokens: (
    account: AccountId,
    buildRequest: (
      partition: PartitionId,
    ) => Omit<GrantRequest, 'partition' | 'account' | 'region'>,
    onAnswer: (answered: AnsweredRequest) => void,
  ) => Promise<TokenServerAnswer>;
  /**
   * @returns Partition whose token server is responsible for the account, as far as this node
   *   knows.
   */
  readonly partitionOf: (account: AccountId) => PartitionId;
}

/**
 * A request to a token server together with its response.
 *
 * @internal
 */
export interface AnsweredRequest {
  readonly request: GrantRequest;
  readonly response: GrantResponse;
  readonly sentMilliseconds: number;
}
