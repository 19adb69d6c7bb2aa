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
  /** Closes the idle connections, because what made another one stop responding may have affected them as well. */
  readonly closeIdle: () => void;
  readonly close: () => void;
}
