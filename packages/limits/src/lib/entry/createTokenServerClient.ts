import type { AccountId, PartitionId, RegionId } from '@buckthornslip/common';

import { limitsPartition } from '../groups/limitsPartition';
import { MINIMUM_DIVIDED_BURST } from '../split/MINIMUM_DIVIDED_BURST';
import type { AccountLimiterOptions } from './AccountLimiterOptions';
import { createResponseTimeouts } from './createResponseTimeouts';
import type { AnsweredRequest, TokenServerAnswer, TokenServerClient } from './TokenServerClient';

/**
 * Maximum number of requests for one answer: to the own region, to another region, and after a
 * renewed lookup.
 */
const MAXIMUM_REQUESTS = 3;

/**
 * Time for which no requests are sent to another region after one was not answered, in
 * milliseconds.
 */
const REGION_BACKOFF_MILLISECONDS = 2_000;

type BuildRequest = Parameters<TokenServerClient['requestTokens']>[1];

/**
 * @param options - Options of the account limiter.
 * @returns A client that starts with the token servers of its own region.
 * @internal
 */
export function createTokenServerClient(options: AccountLimiterOptions): TokenServerClient {
  const { clock, leases, peers, grouping, logger } = options;
  const timeouts = createResponseTimeouts();
  const regions = new Map<AccountId, RegionId>();
  const backoffUntil = new Map<RegionId, number>();
  const regionOf = (account: AccountId): RegionId => regions.get(account) ?? options.region;

  const partitionOf = (account: AccountId): PartitionId =>
    limitsPartition(regionOf(account), grouping.groupOf(account));

  const sendRequest = async (
    account: AccountId,
    partition: PartitionId,
    buildRequest: BuildRequest,
  ): Promise<AnsweredRequest | undefined> => {
    const location = await leases.locate(partition);
    if (!location.ok) return undefined;
    const request = { partition, account, region: options.region, ...buildRequest(partition) };
    const sentMilliseconds = clock.monotonicMilliseconds();
    const address = location.value.controlAddress;
    const result = await peers.grantTokens(address, request, timeouts.of(address));
    const elapsedMilliseconds = clock.monotonicMilliseconds() - sentMilliseconds;
    if (result.ok) {
      timeouts.recordAnswer(address, elapsedMilliseconds);
      return { request, response: result.value, sentMilliseconds };
    }
    if (elapsedMilliseconds >= timeouts.of(address)) timeouts.recordTimeout(address);
    logger.log('limitHolderUnreachable', { partition, address });
    leases.forgetLocation(partition);
    return undefined;
  };

  /**
   * Requests tokens from other regions for calls that would be refused, so that a divided account
   * does not run out in one region while others have tokens left.
   */
  const requestFromOtherRegions = async (
    account: AccountId,
    buildRequest: BuildRequest,
    onAnswer: (answered: AnsweredRequest) => void,
  ): Promise<TokenServerAnswer | undefined> => {
    const now = clock.monotonicMilliseconds();
    for (const region of options.regions()) {
      const isAsked = region !== regionOf(account) && (backoffUntil.get(region) ?? 0) <= now;
      if (!isAsked) continue;
      const partition = limitsPartition(region, grouping.groupOf(account));
      const answered = await sendRequest(account, partition, (asked) => ({
        ...buildRequest(asked),
        ahead: 0,
        demand: 0,
      }));
      if (!answered) backoffUntil.set(region, now + REGION_BACKOFF_MILLISECONDS);
      if (answered?.response.kind !== 'granted') continue;
      onAnswer(answered);
      return answered.response;
    }
    return undefined;
  };

  const isDivided = (account: AccountId): boolean =>
    (options.accounts().get(account)?.burst ?? 0) >= MINIMUM_DIVIDED_BURST;

  const requestFromResponsibleServer = async (
    account: AccountId,
    buildRequest: BuildRequest,
    onAnswer: (answered: AnsweredRequest) => void,
  ): Promise<TokenServerAnswer> => {
    for (let count = 0; count < MAXIMUM_REQUESTS; count += 1) {
      const partition = partitionOf(account);
      const answered = await sendRequest(account, partition, buildRequest);
      if (!answered) break;
      onAnswer(answered);
      const { response } = answered;
      if (response.kind === 'granted' || response.kind === 'empty') return response;
      if (response.kind === 'not-holder') leases.forgetLocation(partition);
      else regions.set(account, response.region);
    }
    return { kind: 'unavailable' };
  };

  return {
    partitionOf,
    requestTokens: async (account, buildRequest, onAnswer) => {
      const answer = await requestFromResponsibleServer(account, buildRequest, onAnswer);
      const isNeeded = buildRequest(partitionOf(account)).needed > 0;
      if (answer.kind === 'granted' || !isNeeded || !isDivided(account)) return answer;
      return (await requestFromOtherRegions(account, buildRequest, onAnswer)) ?? answer;
    },
  };
}
