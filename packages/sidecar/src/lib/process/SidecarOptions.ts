import type {
  Clock,
  HostId,
  Incarnation,
  RandomSource,
  RegionId,
  Result,
  ServiceId,
  ZoneId,
} from '@buckthornslip/common';
import type { Store } from '@buckthornslip/platform';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { ConnectionLimits } from '../http/connections/ConnectionLimits';
import type { PolicyError } from '../policy/createPolicyWatcher';
import type { DecodedPolicy } from '../policy/DecodedPolicy';
import type { CallProtocol } from '../protocol/CallProtocol';
import type { FleetRetrySettings } from '../serving/FleetRetrySettings';

/**
 * Dependencies and settings of a sidecar.
 *
 * @public
 */
export interface SidecarOptions {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly region: RegionId;
  readonly zone: ZoneId;
  /** Service of the local upstream. */
  readonly service: ServiceId;
  readonly listeners: {
    /** "address:port" for requests of callers and of the local upstream. */
    readonly callers: string;
    /** "address:port" for calls and messages of other nodes. */
    readonly peers: string;
  };
  /** Limits that protect the listener for callers. */
  readonly connectionLimits: ConnectionLimits;
  /** Expected interval between announcements of the upstream, in milliseconds. */
  readonly announcementMilliseconds: number;
  /** Whether the whole system is starting for the first time. */
  readonly isFirstStart: boolean;
  readonly retries: FleetRetrySettings;
  /** Whether upstreams are chosen by expected work instead of the number of calls. */
  readonly placesByExpectedWork: boolean;
  /** Whether requests are refused at their entry while calls below them are refused for lack of capacity. */
  readonly refusesEarly: boolean;
  /** Time limit of a graceful stop, in milliseconds. */
  readonly stopMilliseconds: number;
  /** Key of the policy in the store. */
  readonly policyKey: string;
  /** Prefix of all keys that the operator writes; the policy and the evacuation orders are among them. */
  readonly operatorPrefix: string;
  /** Prefix of the keys that order evacuations; the name of a zone follows it. */
  readonly evacuationPrefix: string;
  /** Time for which an order that a restored store lacks stays in force, in milliseconds. */
  readonly orderRetentionMilliseconds: number;
  /** Time within which a policy that the store has accepted must be in force, in milliseconds. */
  readonly policyApplyMilliseconds: number;
  readonly decodePolicy: (bytes: Uint8Array) => Result<DecodedPolicy, PolicyError>;
  readonly protocol: CallProtocol;
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: EventLogger;
}
