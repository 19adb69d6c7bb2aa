import type { IncomingMessage } from 'node:http';

/**
 * How an exchange failed.
 *
 * @internal
 */
export type ExchangeFailure =
  /** No connection could be made; nothing was sent. */
  | 'unconnected'
  /** The connection ended before the head of an answer. */
  | 'reset'
  /** The answer ended before its end. */
  | 'truncated'
  /** The answer belongs to another request. */
  | 'foreign'
  /** The call was cancelled here. */
  | 'cancelled';

/**
 * Result of one request over a connection.
 *
 * @internal
 */
export type ExchangeResult =
  | {
      readonly kind: 'whole';
      readonly response: IncomingMessage;
      readonly body: Buffer;
    }
  /** An answer that is too long to be kept in memory; its rest still arrives. */
  | { readonly kind: 'stream'; readonly response: IncomingMessage; readonly head: Buffer }
  | {
      readonly kind: 'failed';
      readonly failure: ExchangeFailure;
      /** Whether any byte of the request may have left. */
      readonly sent: boolean;
    };
