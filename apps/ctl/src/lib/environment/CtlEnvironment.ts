import type { Clock } from '@buckthornslip/common';
import type { ConfigurationStore } from '@buckthornslip/distribution';

import type { NodeClients } from '../nodes/NodeClients';

/**
 * External resources that commands use: clock, environment variables, files, output, store and nodes.
 *
 * @internal
 */
export interface CtlEnvironment {
  readonly clock: Clock;
  readonly variables: Readonly<Record<string, string | undefined>>;
  /** Rejects if the file cannot be read. */
  readonly readFile: (path: string) => Promise<string>;
  readonly write: (line: string) => void;
  readonly writeError: (line: string) => void;
  readonly createStore: (endpoints: readonly string[]) => StoreClient;
  readonly createNodes: (fleetSecret: string) => NodeClients;
}

/**
 * A connection to the store.
 *
 * @internal
 */
export interface StoreClient {
  readonly store: ConfigurationStore;
  readonly close: () => void;
}
