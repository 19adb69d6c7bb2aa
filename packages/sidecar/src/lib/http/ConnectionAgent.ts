import type { Agent } from 'node:http';

/**
 * Connections to one address.
 *
 * @internal
 */
export interface ConnectionAgent {
  readonly agent: Agent;
  readonly host: string;
  readonly port: number;
  /** Longest time for making a connection, in milliseconds. */
  readonly connectMilliseconds: number;
  readonly close: () => void;
}
