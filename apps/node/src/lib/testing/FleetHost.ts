import type { StubUpstream } from '@buckthornslip/app-standins';
import type { NodeSettings } from '@buckthornslip/config';
import type { Store } from '@buckthornslip/platform';

import type { NodeProcess } from '../process/NodeProcess';

/**
 * One host of a fleet that runs in a test process: its node and upstream.
 *
 * @public
 */
export interface FleetHost {
  readonly settings: NodeSettings;
  readonly node: NodeProcess;
  /** The node's store client. */
  readonly store: Store;
  readonly upstream: StubUpstream;
  /** "address:port" of the node's listener for callers. */
  readonly callerAddress: string;
}
