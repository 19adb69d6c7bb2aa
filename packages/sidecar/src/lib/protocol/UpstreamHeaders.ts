import type { AccountId, ServiceId, UpstreamId } from '@buckthornslip/common';

/**
 * What an upstream is told about a request besides the caller's own headers.
 *
 * @public
 */
export interface UpstreamHeaders {
  readonly account: AccountId | undefined;
  /** Service of the host where the request entered. */
  readonly callerService: ServiceId;
  readonly upstreamId: UpstreamId;
  /** Time left for the request, in milliseconds. */
  readonly remainingMilliseconds: number;
}
