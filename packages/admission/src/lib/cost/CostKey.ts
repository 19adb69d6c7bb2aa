import type { AccountId, ServiceId } from '@buckthornslip/common';

/**
 * Properties of a call that its cost may depend on.
 *
 * @public
 */
export interface CostKey {
  readonly service: ServiceId;
  readonly route: string;
  /** Account that the call is charged to; undefined on open routes. */
  readonly account: AccountId | undefined;
  readonly method: string;
  /** Length of the body, in bytes; undefined if it is not known before the body has been read. */
  readonly bodyBytes: number | undefined;
}
