import type { Agent } from 'node:http';

/**
 * Keep-alive connections to one address.
 *
 * @internal
 */
export interface ConnectionPool {
  /** "address:port", as passed in. */
  readonly authority: string;
  readonly host: string;
  readonly port: number;
  /** @returns The agent for new requests. */
  readonly agent: () => Agent;
  /** Changes the maximum number of connections. */
  readonly resize: (connections: number) => void;
  /** Counts a connection that timed out. */
  readonly countTimeout: () => void;
  /** Counts a response, which resets the number of timeouts in a row. */
  readonly countResponse: () => void;
  /** Closes idle connections now, and the others when their calls end. */
  readonly close: () => void;
  /** @returns Number of open connections. */
  readonly size: () => number;
}
