import type { HostId, ServiceId } from '@buckthornslip/common';
import type { membershipMessages } from '@buckthornslip/wire';

import type { MemberTable } from '../table/MemberTable';

/**
 * The gossip group of one service, as seen by one of its members.
 *
 * @internal
 */
export interface ServiceGroup {
  readonly service: ServiceId;
  readonly table: MemberTable;
  /** Spreads a change of this node's record to all members and subscribers. */
  readonly announce: () => Promise<void>;
  /** Starts a check of a member. */
  readonly verify: (host: HostId) => void;
  readonly answerProbe: (
    request: membershipMessages.ProbeRequest,
  ) => membershipMessages.ProbeResponse;
  readonly answerIndirectProbe: (
    request: membershipMessages.IndirectProbeRequest,
  ) => Promise<membershipMessages.IndirectProbeResponse>;
  readonly answerPush: (
    request: membershipMessages.PushMembersRequest,
  ) => membershipMessages.PushMembersResponse;
  readonly answerPull: (
    request: membershipMessages.PullRosterRequest,
  ) => membershipMessages.PullRosterResponse;
  /** Joins the group and probes its members until the group is closed. */
  readonly run: () => Promise<void>;
  readonly close: () => void;
}
