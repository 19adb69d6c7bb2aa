import type { ConfigurationStore, Publisher } from '@buckthornslip/distribution';

import type { CtlEnvironment } from '../environment/CtlEnvironment';
import type { NodeClients } from '../nodes/NodeClients';
import type { CtlArguments } from './CtlArguments';

/**
 * Context in which a command runs.
 *
 * @internal
 */
export interface CommandContext {
  readonly environment: CtlEnvironment;
  readonly arguments: CtlArguments;
  /** Undefined without `--store`. */
  readonly store: ConfigurationStore | undefined;
  /** Publisher to the store. Commands that need it fail without `--store`. */
  readonly publisher: Publisher;
  readonly nodes: NodeClients;
}
