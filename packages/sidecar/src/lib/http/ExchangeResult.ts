import type { IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';

/**
 * How an exchange failed.
 *
 * @public
 */
export type ExchangeFailure =
  /** The connection could not be established; nothing was sent. */
  | 'unconnected'
  /** The request was no longer allowed when it got a connection; nothing was sent. */
  | 'withheld'
  /** The connection ended before a response head. */
  | 'reset'
  /** The response ended prematurely. */
  | 'truncated'
  /** The response belongs to another request. */
  | 'foreign'
  /** The call was cancelled locally. */
  | 'cancelled';

/**
 * Result of one HTTP exchange.
 *
 * @public
 */
export type ExchangeResult =
  | {
      readonly kind: 'whole';
      readonly response: IncomingMessage;
      readonly body: Buffer;
    }
  /** A response that is too long to buffer; its rest is still being received. */
  | {
      readonly kind: 'stream';
      readonly response: IncomingMessage;
      readonly head: Buffer;
      /** The part of the body after the head. */
      readonly rest: Readable;
    }
  | {
      readonly kind: 'failed';
      readonly failure: ExchangeFailure;
      /** Whether any byte of the request may have been sent. */
      readonly sent: boolean;
    };
