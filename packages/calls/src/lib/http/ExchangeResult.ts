import type { IncomingMessage } from 'node:http';

/**
 * The result of an HTTP exchange up to the head of the response.
 *
 * @internal
 */
export type ExchangeResult =
  | {
      readonly kind: 'head';
      readonly response: IncomingMessage;
      readonly latencyMilliseconds: number;
    }
  | {
      readonly kind: 'failed';
      readonly cause:
        | 'refused'
        /** Connecting failed for a reason other than a refused connection. */
        | 'unconnected'
        | 'reset'
        | 'silent'
        | 'cancelled'
        | 'body-failed'
        | 'body-silent'
        | 'body-too-large';
      /** Whether any byte may have reached the server. */
      readonly sent: boolean;
    };
