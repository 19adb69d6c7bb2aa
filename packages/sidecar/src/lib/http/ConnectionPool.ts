import type { Agent } from 'node:http';

import type { PiecePacer } from './createPiecePacer';

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
  /** Pacer of the responses of this address. */
  readonly pacer: PiecePacer;
  /** Closes the idle connections, because what made another one stop responding may have affected them as well. */
  readonly closeIdle: () => void;
  readonly close: () => void;
}
