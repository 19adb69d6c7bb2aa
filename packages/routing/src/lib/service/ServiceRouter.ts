import type { Result } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';

import type { AttemptReport } from '../choice/AttemptReport';
import type { RouteRequest } from '../choice/RouteRequest';
import type { RoutingRefusal } from '../choice/RoutingRefusal';

/**
 * Chooses serving nodes among the members of one service.
 *
 * @internal
 */
export interface ServiceRouter {
  /** Whether at least one ready member is known. */
  readonly hasMembers: () => boolean;
  readonly choose: (request: RouteRequest) => Result<Member, RoutingRefusal>;
  readonly report: (report: AttemptReport) => void;
  /** Unsubscribes from changes of the service's members. */
  readonly close: () => void;
}
