import type { PeerContact } from '../peers/PeerContact';

/**
 * A group of contacts, one of which must answer in each poll.
 *
 * @internal
 */
export interface PeerGroup {
  readonly name: string;
  /** In order of preference. */
  readonly contacts: readonly PeerContact[];
}
