import type { Observable } from 'rxjs';

import type { ConfigurationSnapshot } from './ConfigurationSnapshot';

/**
 * The configuration in force on this node.
 *
 * @public
 */
export interface ConfigurationView {
  /** @returns The revision in force, or undefined if there is none yet. */
  readonly current: () => ConfigurationSnapshot | undefined;

  /** Emits each revision as it comes into force. */
  readonly snapshots: Observable<ConfigurationSnapshot>;

  /** @returns Whether a newer revision, such as a key withdrawal, can be ruled out now. */
  readonly isFresh: () => boolean;
}
