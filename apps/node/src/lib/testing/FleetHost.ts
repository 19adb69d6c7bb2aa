import type { StubUpstream } from '@buckthornslip/app-standins';
import type { NodeSettings } from '@buckthornslip/config';
import type { Store } from '@buckthornslip/platform';

import type { NodeProcess } from '../process/NodeProcess';

/**
 * One host of a fleet in a test process.
 *
 * @public
 */
export interface FleetHost {
  readonly settings: NodeSettings;
  readonly node: NodeProcess;
  /** The node's own client of the store. */
  readonly store: Store;
  readonly upstream: StubUpstream;
  /** "address:port" of the node's listener for callers. */
  readonly callerAddress: string;
}
