import type { AccountId, ServiceId, UpstreamId } from '@buckthornslip/common';

/**
 * Values of the headers that are added to a request for an upstream.
 *
 * @public
 */
export interface UpstreamHeaders {
  readonly account: AccountId | undefined;
  /** Service of the host that received the request. */
  readonly callerService: ServiceId;
  readonly upstreamId: UpstreamId;
  /** Remaining time of the request, in milliseconds. */
  readonly remainingMilliseconds: number;
}
