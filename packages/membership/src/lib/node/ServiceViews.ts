import type { HostId, ServiceId } from '@buckthornslip/common';

import type { ServiceGroup } from '../group/ServiceGroup';
import type { MemberRecord } from '../member/MemberRecord';
import type { Subscription } from '../subscription/Subscription';
import type { MemberTable } from '../table/MemberTable';

/**
 * The services whose members this node knows: its own and those to which it subscribes.
 *
 * @internal
 */
export interface ServiceViews {
  readonly start: () => void;
  readonly tables: () => readonly MemberTable[];
  /** The group of the given service, if it is the node's own. */
  readonly group: (service: ServiceId) => ServiceGroup | undefined;
  readonly subscription: (service: ServiceId) => Subscription | undefined;
  /** Member table of a service. The first request for a service other than the node's own subscribes to it. */
  readonly table: (service: ServiceId) => MemberTable;
  /** Spreads this node's record, and joins the group of the service if needed. */
  readonly announce: (service: ServiceId | undefined) => Promise<void>;
  readonly suspect: (host: HostId) => void;
  readonly findHost: (host: HostId) => MemberRecord | undefined;
}
