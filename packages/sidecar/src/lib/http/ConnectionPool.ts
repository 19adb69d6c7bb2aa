import type { Agent } from 'node:http';

/**
 * Connection pool of one address.
 *
 * @internal
 */
export interface ConnectionPool {
  readonly agent: Agent;
  readonly host: string;
  readonly port: number;
  /** Connect timeout, in milliseconds. */
  readonly connectMilliseconds: number;
  readonly close: () => void;
}
