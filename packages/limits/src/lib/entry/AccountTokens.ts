import type { PartitionId } from '@buckthornslip/common';

import type { GrantReport } from '../messages/GrantReport';

/**
 * A grant that an entry node has received.
 *
 * @internal
 */
export interface ReceivedGrant {
  readonly partition: PartitionId;
  readonly epoch: number;
  readonly sequence: number;
  readonly tokens: number;
  /** Expiry of the grant, counted from the time at which the request was sent. */
  readonly expiresMilliseconds: number;
}

/**
 * Tokens of one account that an entry node has been granted.
 *
 * @internal
 */
export interface AccountTokens {
  /** Adds a grant. A duplicate response adds nothing. */
  readonly add: (grant: ReceivedGrant) => void;
  /** Spends one token of the grant that expires first, and returns whether there was one. */
  readonly take: () => boolean;
  readonly available: () => number;
  /** Closes grants that expire soon, so that the token server can reuse the unspent tokens. */
  readonly closeExpiring: (withinMilliseconds: number) => void;
  /** @returns Reports that the partition's token server has not acknowledged yet. */
  readonly reports: (partition: PartitionId) => readonly GrantReport[];
  /** Records that the token server has received the reports. */
  readonly acknowledge: (reports: readonly GrantReport[]) => void;
  /** @returns Earliest expiry of the grants with tokens left. */
  readonly nextExpiry: () => number | undefined;
  /**
   * @returns Whether any spending or closing of the partition's grants has not been acknowledged.
   */
  readonly hasUnreported: (partition: PartitionId) => boolean;
}
