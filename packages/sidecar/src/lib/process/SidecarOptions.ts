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
import type { CallPolicy } from '@buckthornslip/config';
import type { Store } from '@buckthornslip/platform';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { RetryBudgetSettings } from '../entry/createRetryBudget';
import type { PolicyError } from '../policy/createPolicyFollower';
import type { CallProtocol } from '../protocol/CallProtocol';

/**
 * What a sidecar is built from.
 *
 * @public
 */
export interface SidecarOptions {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly region: RegionId;
  readonly zone: ZoneId;
  /** Service of the upstream beside this node. */
  readonly service: ServiceId;
  readonly listeners: {
    /** "address:port" for callers and for the upstream's own calls. */
    readonly callers: string;
    /** "address:port" for calls and messages of other nodes. */
    readonly peers: string;
  };
  /** Time between two announcements of the upstream, in milliseconds. */
  readonly announcementMilliseconds: number;
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean;
  readonly retries: RetryBudgetSettings;
  /** Longest time for a stop, in milliseconds. */
  readonly stopMilliseconds: number;
  /** Key of the policy in the store, and its form there. */
  readonly policyKey: string;
  readonly decodePolicy: (bytes: Uint8Array) => Result<CallPolicy, PolicyError>;
  readonly protocol: CallProtocol;
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: EventLogger;
}
