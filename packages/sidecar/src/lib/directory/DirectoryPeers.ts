import type { DirectoryMessage } from './DirectoryMessage';

/**
 * Client of the other nodes' directories.
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
