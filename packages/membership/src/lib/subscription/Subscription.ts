import type { HostId } from '@buckthornslip/common';
import type { membershipMessages } from '@buckthornslip/wire';

import type { MemberTable } from '../table/MemberTable';

/**
 * The members of a service that this node calls but does not belong to.
 *
 * @internal
 */
export interface Subscription {
  readonly table: MemberTable;
  readonly answerPush: (
    request: membershipMessages.PushMembersRequest,
  ) => membershipMessages.PushMembersResponse;
  /** Reports to a member of the service that calls to a host fail. */
  readonly reportSuspect: (host: HostId) => void;
  /** Pulls the roster periodically until the node's signal is aborted. */
  readonly run: () => Promise<void>;
}
