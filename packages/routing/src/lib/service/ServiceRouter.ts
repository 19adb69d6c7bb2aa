import type { Result } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';

import type { AttemptReport } from '../choice/AttemptReport';
import type { RouteRequest } from '../choice/RouteRequest';
import type { RoutingRefusal } from '../choice/RoutingRefusal';

/**
 * Choice of serving nodes within one service.
 *
 * @internal
 */
export interface ServiceRouter {
  /** Whether a ready member is known. */
  readonly hasMembers: () => boolean;
  readonly choose: (request: RouteRequest) => Result<Member, RoutingRefusal>;
  readonly report: (report: AttemptReport) => void;
  /** Stops following the members of the service. */
  readonly close: () => void;
}
