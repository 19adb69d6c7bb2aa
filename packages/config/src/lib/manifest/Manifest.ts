import type { AccountId, RegionId, ServiceId, ZoneId } from '@buckthornslip/common';

import type { AccountDefinition } from './AccountDefinition';
import type { RouteDefinition } from './RouteDefinition';
import type { ServiceDefinition } from './ServiceDefinition';

/**
 * A validated manifest: the regions, services, routes and accounts that operators declare with each release.
 *
 * @public
 */
export interface Manifest {
  /** Human-readable name of the release. */
  readonly release: string;
  readonly regions: ReadonlyMap<RegionId, readonly ZoneId[]>;
  readonly services: ReadonlyMap<ServiceId, ServiceDefinition>;
  /** In matching order: the first route that matches a request applies. */
  readonly routes: readonly RouteDefinition[];
  readonly accounts: ReadonlyMap<AccountId, AccountDefinition>;
}
