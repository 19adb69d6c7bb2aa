import type { LedgerGrant, LedgerRequest } from '@buckthornslip/limits';
import type { channelMessages } from '@buckthornslip/wire';

import type { AttemptResult } from '../serving/AttemptResult';
import type { CallAttempt } from '../serving/CallAttempt';

/** Comparison of tables, without the number that pairs it with its answer. */
export type ExchangeFields = Omit<channelMessages.Exchange, 'sequence'>;

/**
 * Way to one other node.
 *
 * @internal
 */
export interface PeerLink {
  /** Runs a call there; "may-have-run" if its answer cannot be had any more. */
  readonly call: (call: CallAttempt) => Promise<AttemptResult>;
  /** @returns Tokens, or undefined if the node did not answer in time. */
  readonly requestTokens: (request: LedgerRequest) => Promise<LedgerGrant | undefined>;
  /** @returns The node's side of the comparison, or undefined if it did not answer in time. */
  readonly exchange: (fields: ExchangeFields) => Promise<ExchangeFields | undefined>;
  readonly close: () => void;
}
