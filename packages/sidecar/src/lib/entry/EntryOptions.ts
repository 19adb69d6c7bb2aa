import type { Clock, HostId, RandomSource, ServiceId } from '@buckthornslip/common';
import type { LedgerRateLimiter } from '@buckthornslip/limits';
import type { Router } from '@buckthornslip/routing';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { PeerLinks } from '../peers/createPeerLinks';
import type { PolicyFollower } from '../policy/PolicyFollower';
import type { UrgencyLevels } from '../policy/createUrgencyLevels';
import type { RunningCalls } from '../serving/createRunningCalls';
import type { RouteTable } from '../policy/createRouteTable';
import type { CallProtocol } from '../protocol/CallProtocol';
import type { Serving } from '../serving/createServing';
import type { SidecarMetrics } from '../process/createSidecarMetrics';
import type { RetryBudget } from './createRetryBudget';

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
  readonly policy: PolicyFollower;
  readonly routes: () => RouteTable | undefined;
  readonly levels: () => UrgencyLevels | undefined;
  /** Calls that the own upstream runs, which its own calls serve. */
  readonly running: RunningCalls;
  readonly gate: LedgerRateLimiter;
  readonly router: Router;
  /** Asks another node for its record, because the known one seems to be out of date. */
  readonly refreshMember: (host: HostId) => void;
  readonly retries: RetryBudget;
  readonly serving: Serving;
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
