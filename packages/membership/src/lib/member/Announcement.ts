import type { ServiceId } from '@buckthornslip/common';

import type { MemberState } from './MemberState';

/**
 * Announcement of an upstream to the node on the same host.
 *
 * @public
 */
export interface Announcement {
  readonly service: ServiceId;
  /** "address:port" at which the upstream accepts calls. */
  readonly address: string;
  /** Number of calls that the upstream can run concurrently. */
  readonly slots: number;
  /** Number of connections that the upstream accepts. */
  readonly connections: number;
  readonly state: MemberState;
  /** Time after its start during which the upstream is slower than usual, in milliseconds. */
  readonly coldStartMilliseconds: number;
}
