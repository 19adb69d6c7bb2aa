import type { Result } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';

import type { AttemptReport } from './AttemptReport';
import type { RouteRequest } from './RouteRequest';
import type { RoutingRefusal } from './RoutingRefusal';

/**
 * Chooses the serving node for each attempt.
 *
 * @public
 */
export interface Router {
  /**
   * @param request - Properties of the call.
   * @returns The chosen node, counted as having one more attempt in flight until `report` is called.
   */
  readonly choose: (request: RouteRequest) => Promise<Result<Member, RoutingRefusal>>;

  /** Ends an attempt and updates load, link budget and outlier detection with its outcome. */
  readonly report: (report: AttemptReport) => void;
}
