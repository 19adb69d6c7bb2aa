import type { FrameConnection } from './FrameConnection';

/** Bytes that may wait on each connection in any case, so that one that drains never waits for the others. */
const MINIMUM_BYTES = 65_536;

/**
 * Limits the bytes that wait for other nodes to read them, over all connections of the process.
 *
 * @internal
 */
export interface OutgoingBudget {
  readonly add: (connection: FrameConnection) => void;
  readonly remove: (connection: FrameConnection) => void;
  /**
   * @returns Whether more may be sent on a connection. It may hold as much as what is left, so that one that does not drain takes half
   *   of the limit, and leaves room for the others.
   */
  readonly hasRoom: (connection: FrameConnection) => boolean;
}

/**
 * Creates the budget.
 *
 * @param limitBytes - Most bytes that wait on all connections.
 * @returns The budget, without connections.
 * @internal
 */
export function createOutgoingBudget(limitBytes: number): OutgoingBudget {
  const connections = new Set<FrameConnection>();

  const waitingBytes = (): number => {
    let bytes = 0;
    for (const connection of connections) bytes += connection.pendingBytes();
    return bytes;
  };

  return {
    add: (connection) => {
      connections.add(connection);
    },
    remove: (connection) => {
      connections.delete(connection);
    },
    hasRoom: (connection) => {
      const bytes = connection.pendingBytes();
      return bytes <= MINIMUM_BYTES || bytes < limitBytes - waitingBytes();
    },
  };
}
