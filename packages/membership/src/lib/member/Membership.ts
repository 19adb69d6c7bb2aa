import type { HostId, RegionId, ServiceId } from '@buckthornslip/common';
import type { Observable } from 'rxjs';

import type { Announcement } from './Announcement';
import type { Member } from './Member';

/**
 * The members of the services that this node belongs to or calls.
 *
 * @public
 */
export interface Membership {
  /** @returns This node's own record. */
  readonly self: () => Member;

  /**
   * Sets the announcement of this node's local upstream and spreads it to the fleet.
   *
   * @param announcement - Service, capacity and state of the upstream.
   */
  readonly announce: (announcement: Announcement) => void;

  /**
   * Returns the members of a service. The first call for a service other than the node's own subscribes to it.
   *
   * @param service - The service.
   * @returns The currently known members; empty until the first roster has arrived.
   */
  readonly members: (service: ServiceId) => readonly Member[];

  /**
   * Waits until at least one live, ready member of a service is known.
   *
   * @param service - The service.
   * @param timeoutMilliseconds - Maximum wait, in milliseconds.
   * @returns The members known at the end of the wait.
   */
  readonly waitForMembers: (
    service: ServiceId,
    timeoutMilliseconds: number,
  ) => Promise<readonly Member[]>;

  /** Emits all members of a service on each change. */
  readonly changes: (service: ServiceId) => Observable<readonly Member[]>;

  /**
   * Finds a member by host among all known records.
   *
   * @param host - The host.
   * @returns The newest record of that host, if any.
   */
  readonly findHost: (host: HostId) => Member | undefined;

  /** @returns The currently live zone contacts by region. A zone contact knows the nodes of its zone. */
  readonly contacts: () => ReadonlyMap<RegionId, readonly Member[]>;

  /** Reports to failure detection that calls to a host fail or get no response. */
  readonly suspect: (host: HostId) => void;
}
