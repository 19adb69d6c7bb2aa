import type { Suspect } from '@buckthornslip/calls';
import type { LedgerGrant, LedgerRequest } from '@buckthornslip/limits';
import type { channelMessages } from '@buckthornslip/wire';

import type { AttemptResult } from '../serving/AttemptResult';
import type { CallAttempt } from '../serving/CallAttempt';

/** Message of a directory exchange, without the sequence number that correlates request and answer. */
export type ExchangeFields = Omit<channelMessages.Exchange, 'sequence'>;

/**
 * Client of one other node.
 *
 * @internal
 */
export interface PeerLink {
  /** Runs a call on the node; "may-have-run" if its answer can no longer be obtained. */
  readonly call: (call: CallAttempt) => Promise<AttemptResult>;
  /** @returns Tokens, or undefined if the node did not answer in time. */
  readonly requestTokens: (request: LedgerRequest) => Promise<LedgerGrant | undefined>;
  /** @returns The node's answer, or undefined if it did not answer in time. */
  readonly exchange: (fields: ExchangeFields) => Promise<ExchangeFields | undefined>;
  /** Tells the node of requests that may have crashed upstreams of its service. */
  readonly shareSuspects: (suspects: readonly Suspect[]) => void;
  /** @returns Whether its connection is open. */
  readonly isOpen: () => boolean;
  readonly close: () => void;
}
