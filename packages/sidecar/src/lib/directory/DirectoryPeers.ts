import type { DirectoryMessage } from './DirectoryMessage';

/**
 * Ways to the other nodes that the directory needs.
 *
 * @internal
 */
export interface DirectoryPeers {
  /** @returns The answer of the node at an address, or undefined if it cannot be reached. */
  readonly exchange: (
    address: string,
    message: DirectoryMessage,
  ) => Promise<DirectoryMessage | undefined>;
}
