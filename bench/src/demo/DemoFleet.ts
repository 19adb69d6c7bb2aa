import type { DemoHost } from './DemoHost';
import type { ManagedProcess } from './ManagedProcess';

/**
 * Running processes of the demonstration.
 */
export interface DemoFleet {
  readonly hosts: readonly DemoHost[];
  /** Command-line options that give ctl the address of the store and the fleet secret. */
  readonly ctlOptions: readonly string[];
  /** Address of the upstream on a host. */
  readonly upstreamAddress: (host: DemoHost) => string;
  /** Stops upstreams, nodes and store gracefully. Resolves to the processes that did not exit with code 0. */
  readonly stop: () => Promise<readonly string[]>;
  /** Process of the node on a host. */
  readonly node: (host: DemoHost) => ManagedProcess;
  /** Process of the upstream on a host. */
  readonly upstream: (host: DemoHost) => ManagedProcess;
  /** Switches faults of the store on and off. */
  readonly setStoreFaults: (faults: Readonly<Record<string, unknown>>) => Promise<void>;
  /** Kills all processes immediately, for use after a failure. */
  readonly kill: () => void;
}
