import type { Clock, HostId, RandomSource, ServiceId } from '@buckthornslip/common';
import type { AccountGate } from '@buckthornslip/limits';
import type { Router } from '@buckthornslip/routing';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { PeerLinks } from '../peers/createPeerLinks';
import type { PolicyWatcher } from '../policy/PolicyWatcher';
import type { PriorityRanks } from '../policy/createPriorityRanks';
import type { RunningCalls } from '../serving/createRunningCalls';
import type { RouteTable } from '../policy/createRouteTable';
import type { CallProtocol } from '../protocol/CallProtocol';
import type { CallServer } from '../serving/createCallServer';
import type { SidecarMetrics } from '../process/createSidecarMetrics';
import type { ServiceRetryBudget } from './createServiceRetryBudget';

/**
 * What the entry side of a node works with.
 *
 * @internal
 */
export interface EntryOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: EventLogger;
  readonly metrics: SidecarMetrics;
  readonly protocol: CallProtocol;
  readonly policy: PolicyWatcher;
  readonly routes: () => RouteTable | undefined;
  readonly priorityRanks: () => PriorityRanks | undefined;
  /** Calls that the own upstream runs, which its own calls serve. */
  readonly running: RunningCalls;
  readonly gate: AccountGate;
  readonly router: Router;
  /** Asks another node for its record, because the known one seems to be out of date. */
  readonly refreshMember: (host: HostId) => void;
  readonly retries: ServiceRetryBudget;
  readonly callServer: CallServer;
  /** Host of this node; calls that its own upstream serves take no connection. */
  readonly host: HostId;
  /** Service of the upstream beside this node, from which all requests at this entry come. */
  readonly callerService: ServiceId;
  readonly links: PeerLinks;
  /** @returns Whether the node has been asked to stop, so that callers should not keep their connections. */
  readonly isStopping: () => boolean;
  /** @returns Whether the stop has come so far that only calls of the own upstream are taken. */
  readonly refusesCallers: () => boolean;
}
