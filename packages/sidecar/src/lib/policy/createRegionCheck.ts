import type { Clock, RegionId } from '@buckthornslip/common';
import type { CallPolicy } from '@buckthornslip/config';

import type { PolicyFault } from './PolicyFault';
import type { PolicyFaultReporter } from './createPolicyFaultReporter';

/** Time after which a node knows the other nodes, also if the whole fleet has just started, in milliseconds. */
const DELAY_MILLISECONDS = 10_000;

/** Dependencies of the region check. */
interface RegionCheckOptions {
  readonly clock: Clock;
  /** @returns Regions of all known nodes. */
  readonly knownRegions: () => ReadonlySet<RegionId>;
  readonly report: PolicyFaultReporter;
}

/** Checks that a policy names only regions that exist. */
export interface RegionCheck {
  /** Checks a policy some time after it came into force, unless it has been replaced by then. */
  readonly start: (policy: CallPolicy) => void;
  readonly close: () => void;
}

function findUnknown(policy: CallPolicy, known: ReadonlySet<RegionId>): readonly PolicyFault[] {
  const faultsOf = (owner: string, regions: ReadonlySet<RegionId> | undefined): PolicyFault[] =>
    [...(regions ?? [])]
      .filter((region) => !known.has(region))
      .map((region) => ({ kind: 'region-unknown', path: `${owner}, region ${region}` }));
  return [
    ...policy.routes.flatMap(({ allowedRegions, name }) =>
      faultsOf(`route ${name}`, allowedRegions),
    ),
    ...[...policy.accounts.values()].flatMap(({ allowedRegions, id }) =>
      faultsOf(`account ${id}`, allowedRegions),
    ),
  ];
}

/**
 * Creates the check for unknown regions. It only reports: no member is in an unknown region, so the router never chooses it.
 *
 * @param options - Dependencies.
 * @returns The check.
 * @internal
 */
export function createRegionCheck(options: RegionCheckOptions): RegionCheck {
  const { clock, knownRegions, report } = options;
  /** Regions that were known at any time, since a region that is cut off still exists. */
  const known = new Set<RegionId>();
  let cancel: (() => void) | undefined;
  return {
    start: (policy) => {
      cancel?.();
      cancel = clock.setTimer(DELAY_MILLISECONDS, () => {
        knownRegions().forEach((region) => known.add(region));
        report(policy.revision, findUnknown(policy, known));
      });
    },
    close: () => cancel?.(),
  };
}
