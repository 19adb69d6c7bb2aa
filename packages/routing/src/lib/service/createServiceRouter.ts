import type { RegionId, Result, ServiceId } from '@buckthornslip/common';
import { failure, priorityRank, success } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';

import type { TrackedMember } from '../members/TrackedMember';
import { compareMembers } from '../members/compareMembers';
import { isCutOff } from '../members/isCutOff';
import type { RouteRequest } from '../choice/RouteRequest';
import type { RouterOptions } from '../choice/RouterOptions';
import type { RouterSettings } from '../choice/RouterSettings';
import type { RoutingRefusal } from '../choice/RoutingRefusal';
import { createEjector } from '../ejection/createEjector';
import type { LinkBudget } from '../link/LinkBudget';
import { applyLoadReport } from './applyLoadReport';
import { createMemberTable } from './createMemberTable';
import { createLinkCharges } from './createLinkCharges';
import { createRoundTrips } from './createRoundTrips';
import { fasterMember } from './fasterMember';
import { isLocalityCutOff } from './isLocalityCutOff';
import { localityIndex, OTHER_REGION, OWN_REGION, OWN_ZONE } from './localityIndex';
import { localityOrder } from './localityOrder';
import { pickMember } from './pickMember';
import { setCountedLoad } from './setCountedLoad';
import type { ServiceRouter } from './ServiceRouter';

const NO_REGIONS: ReadonlySet<RegionId> = new Set();

/**
 * Creates the router of one service and subscribes to changes of its members.
 *
 * @param service - The service.
 * @param options - Options of the router.
 * @param settings - Settings of the router.
 * @param budgetOf - Returns the link budget for another region.
 * @returns A router for the service.
 * @internal
 */
export function createServiceRouter(
  service: ServiceId,
  options: RouterOptions,
  settings: RouterSettings,
  budgetOf: (region: RegionId) => LinkBudget,
): ServiceRouter {
  const { clock, random, membership } = options;
  const table = createMemberTable(options);
  const recordAndEject = createEjector(options, settings, table);
  const linkCharges = createLinkCharges(budgetOf, settings.undeclaredBodyBytes);
  const roundTrips = createRoundTrips();
  const now = (): number => clock.monotonicMilliseconds();
  const isInOtherRegion = ({ member }: TrackedMember): boolean =>
    localityIndex(options, member) === OTHER_REGION;

  const isInAllowedRegion = ({ region }: Member, { allowedRegions }: RouteRequest): boolean =>
    allowedRegions === undefined || allowedRegions.has(region);

  const start = (
    tracked: TrackedMember,
    costMilliseconds: number,
  ): Result<Member, RoutingRefusal> => {
    Object.assign(tracked, {
      inFlight: tracked.inFlight + 1,
      workInFlight: tracked.workInFlight + costMilliseconds,
    });
    setCountedLoad(tracked, tracked.countedLoad + 1);
    return success(tracked.member);
  };

  const pick = (
    index: number,
    request: RouteRequest,
    exhaustedLinks: ReadonlySet<RegionId>,
  ): TrackedMember | undefined => {
    const time = now();
    const rank = priorityRank[request.priority];
    const isAllowed = (tracked: TrackedMember): boolean =>
      isInAllowedRegion(tracked.member, request) &&
      !request.excludedHosts.has(tracked.member.host) &&
      !exhaustedLinks.has(tracked.member.region) &&
      !isCutOff(tracked, rank, time, settings);
    const { costMilliseconds } = request;
    const compare = (left: TrackedMember, right: TrackedMember): number =>
      compareMembers(left, right, costMilliseconds, time, settings);
    return pickMember(table.localities()[index]!.members, isAllowed, compare, random);
  };

  /** Members in other regions also need bytes from the budget of the link to their region. */
  const pickWithinLinkBudget = (
    index: number,
    request: RouteRequest,
    exhaustedLinks: Set<RegionId>,
  ): TrackedMember | undefined => {
    let tracked = pick(index, request, exhaustedLinks);
    while (tracked && isInOtherRegion(tracked) && !linkCharges.tryTake(tracked, request)) {
      exhaustedLinks.add(tracked.member.region);
      tracked = pick(index, request, exhaustedLinks);
    }
    return tracked;
  };

  /** With an expected cost, a call may be sent to another zone of the region before its own zone is full. */
  const pickInRegion = (near: TrackedMember, request: RouteRequest): TrackedMember => {
    const { costMilliseconds } = request;
    if (costMilliseconds === undefined) return near;
    const far = pick(OWN_REGION, request, NO_REGIONS);
    const detourMilliseconds =
      roundTrips.milliseconds(OWN_REGION) - roundTrips.milliseconds(OWN_ZONE);
    return fasterMember(near, far, { costMilliseconds, detourMilliseconds }, now(), settings);
  };

  const refusal = (sawCutOff: boolean, sawExhaustedLink: boolean): RoutingRefusal => {
    if (sawExhaustedLink) return { kind: 'link-budget' };
    return { kind: sawCutOff ? 'priority-cutoff' : 'no-upstream' };
  };

  const choose = (request: RouteRequest): Result<Member, RoutingRefusal> => {
    const time = now();
    const rank = priorityRank[request.priority];
    const { allowedRegions } = request;
    if (allowedRegions && !table.hasReadyIn(allowedRegions))
      return failure({ kind: 'region-not-allowed' });
    const exhaustedLinks = new Set<RegionId>();
    let sawCutOff = false;
    for (const index of localityOrder(table.localities(), time, random, settings)) {
      if (index !== OTHER_REGION && allowedRegions?.has(options.region) === false) continue;
      if (isLocalityCutOff(table.localities()[index]!, rank, time, settings)) {
        sawCutOff = true;
        continue;
      }
      const picked = pickWithinLinkBudget(index, request, exhaustedLinks);
      const tracked = picked && index === OWN_ZONE ? pickInRegion(picked, request) : picked;
      if (tracked) return start(tracked, request.costMilliseconds ?? 0);
    }
    return failure(refusal(sawCutOff, exhaustedLinks.size > 0));
  };

  const subscription = membership.changes(service).subscribe((members) => {
    table.replace(members, now());
  });
  table.replace(membership.members(service), now());

  return {
    hasMembers: () => table.readyCount() > 0,
    choose,
    report: (report) => {
      const tracked = table.find(report.host);
      if (!tracked) return;
      if (report.serviceMilliseconds !== undefined) {
        const { latencyMilliseconds, serviceMilliseconds } = report;
        const locality = localityIndex(options, tracked.member);
        roundTrips.add(locality, latencyMilliseconds - serviceMilliseconds);
      }
      if (isInOtherRegion(tracked)) linkCharges.reconcile(tracked, report.transferredBytes);
      const inFlight = Math.max(0, tracked.inFlight - 1);
      const workLeft = tracked.workInFlight - (report.costMilliseconds ?? 0);
      // The sum of many additions and subtractions drifts, so it starts again from zero without attempts in flight.
      Object.assign(tracked, {
        inFlight,
        workInFlight: inFlight === 0 ? 0 : Math.max(0, workLeft),
      });
      applyLoadReport(tracked, report.load, now());
      recordAndEject(tracked, report.outcome);
    },
    close: () => subscription.unsubscribe(),
  };
}
