import type { Clock, HostId, RandomSource, ServiceId } from '@buckthornslip/common';
import type { LedgerRateLimiter } from '@buckthornslip/limits';
import type { Router } from '@buckthornslip/routing';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { PeerLinks } from '../peers/createPeerLinks';
import type { PolicyWatcher } from '../policy/PolicyWatcher';
import type { PriorityRanks } from '../policy/createPriorityRanks';
import type { CallCosts } from '../serving/createCallCosts';
import type { RunningCalls } from '../serving/createRunningCalls';
import type { RouteTable } from '../policy/createRouteTable';
import type { CallProtocol } from '../protocol/CallProtocol';
import type { CallServer } from '../serving/createCallServer';
import type { SidecarMetrics } from '../process/createSidecarMetrics';
import type { StopBound } from '../process/createStopBound';
import type { TurnPacer } from '../process/createTurnPacer';
import type { ServiceRetryBudget } from './createServiceRetryBudget';

/**
 * Dependencies of the entry side of a node.
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
  /** Calls that the local upstream is running; they are the possible parents of nested calls. */
  readonly running: RunningCalls;
  readonly rateLimiter: LedgerRateLimiter;
  readonly router: Router;
  /** Requests the current member record of a node whose known record appears to be stale. */
  readonly refreshMember: (host: HostId) => void;
  readonly retries: ServiceRetryBudget;
  readonly callServer: CallServer;
  /** Costs of calls; undefined if calls are not placed by expected work. */
  readonly costs: CallCosts | undefined;
  /** Host of this node; calls to its local upstream use no peer connection. */
  readonly host: HostId;
  /** Service of the local upstream, from which all requests at this entry come. */
  readonly callerService: ServiceId;
  readonly links: PeerLinks;
  /** Whether requests are refused while calls below them are refused for lack of capacity. */
  readonly refusesEarly: boolean;
  /** Most bytes of uploads that are kept whole; further uploads are streamed. */
  readonly uploadBytes: number;
  /** Bytes of answers that may arrive before callers read them, shared out among the requests in progress. */
  readonly answerWindowBytes: number;
  /** Spreads requests that arrive at once, so that the departure of their callers is noticed before they are sent on. */
  readonly pacer: TurnPacer;
  /** @returns Whether the node is stopping, so that callers should not reuse their connections. */
  readonly isStopping: () => boolean;
  /** @returns Whether the shutdown has reached the phase in which only calls of the local upstream are accepted. */
  readonly refusesCallers: () => boolean;
  /** Tells which of those calls end before the process. */
  readonly stopBound: Pick<StopBound, 'fits' | 'observe'>;
}
