import type { Agent } from 'node:http';

/**
 * Keep-alive connections to one address.
 *
 * @internal
 */
export interface ConnectionPool {
  /** "address:port", as given. */
  readonly authority: string;
  readonly host: string;
  readonly port: number;
  /** @returns Agent for new requests. */
  readonly agent: () => Agent;
  /** Changes the largest number of connections. */
  readonly resize: (connections: number) => void;
  /** Counts a connection that went silent. */
  readonly countTimeout: () => void;
  /** Counts a response, which proves that connections work. */
  readonly countResponse: () => void;
  /** Ends idle connections now and the others after their calls. */
  readonly close: () => void;
  /** @returns Connections open now. */
  readonly size: () => number;
}
