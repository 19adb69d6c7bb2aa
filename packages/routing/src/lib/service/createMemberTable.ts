import type { HostId, RegionId, ZoneId } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';

import type { TrackedMember } from '../members/TrackedMember';
import { createTrackedMember } from '../members/createTrackedMember';
import { maximumEjectedMembers } from '../ejection/maximumEjectedMembers';
import type { MemberTable } from './MemberTable';
import { createLocality } from './createLocality';
import type { Locality } from './Locality';
import { LOCALITY_COUNT, localityIndex } from './localityIndex';

/** Time after the first member list in which further members count as part of it, in milliseconds. */
const INITIAL_DISCOVERY_MILLISECONDS = 2_000;

const isReady = ({ member }: TrackedMember): boolean => member.alive && member.state === 'ready';

function limitEjections(ready: readonly TrackedMember[], now: number): void {
  const ejected = ready
    .filter((tracked) => tracked.ejectedUntil > now)
    .sort((left, right) => left.ejectedUntil - right.ejectedUntil);
  const excess = Math.max(0, ejected.length - maximumEjectedMembers(ready.length));
  ejected.slice(0, excess).forEach((tracked) => Object.assign(tracked, { ejectedUntil: 0 }));
}

/**
 * Creates the table of a service's members, grouped into localities.
 *
 * @param own - Region and zone of this node.
 * @returns An empty table.
 * @internal
 */
export function createMemberTable(own: {
  readonly region: RegionId;
  readonly zone: ZoneId;
}): MemberTable {
  const trackedByHost = new Map<HostId, TrackedMember>();
  let localities: readonly Locality[] = Array.from({ length: LOCALITY_COUNT }, () =>
    createLocality([]),
  );
  let readyCount = 0;
  let readyRegions: readonly RegionId[] = [];
  let firstListAt = Infinity;

  const rebuild = (now: number): void => {
    const all = [...trackedByHost.values()];
    all.forEach((tracked) => Object.assign(tracked, { locality: undefined }));
    const ready = all.filter(isReady);
    readyCount = ready.length;
    readyRegions = [...new Set(ready.map(({ member }) => member.region))];
    limitEjections(ready, now);
    const available = ready.filter((tracked) => tracked.ejectedUntil <= now);
    localities = localities.map((_, index) =>
      createLocality(available.filter(({ member }) => localityIndex(own, member) === index)),
    );
  };

  const update = (member: Member, now: number): void => {
    const known = trackedByHost.get(member.host);
    if (!known || known.member.incarnation !== member.incarnation) {
      // Members that are discovered first have been serving already and need no slow start.
      const isNew = now - firstListAt > INITIAL_DISCOVERY_MILLISECONDS;
      const created = createTrackedMember(member, isNew ? now : -Infinity);
      // Attempts at the previous process still have to end and to reconcile their link bytes.
      if (known) {
        const { inFlight, linkBytes, workInFlight } = known;
        Object.assign(created, { inFlight, linkBytes, workInFlight });
      }
      trackedByHost.set(member.host, created);
      return;
    }
    const becomesReady = known.member.state !== 'ready' && member.state === 'ready';
    Object.assign(known, { member, readyAt: becomesReady ? now : known.readyAt });
  };

  /**
   * Removes members that are not listed. One with attempts in flight is kept in the state `left` until they have ended.
   */
  const removeExcept = (hosts: ReadonlySet<HostId>): void => {
    const unlisted = [...trackedByHost.values()].filter(({ member }) => !hosts.has(member.host));
    unlisted.forEach((tracked) => {
      const { member } = tracked;
      if (tracked.inFlight === 0) trackedByHost.delete(member.host);
      else Object.assign(tracked, { member: { ...member, state: 'left' } });
    });
  };

  return {
    localities: () => localities,
    find: (host) => trackedByHost.get(host),
    readyCount: () => readyCount,
    hasReadyIn: (regions) => readyRegions.some((region) => regions.has(region)),
    ejectedCount: (now) =>
      [...trackedByHost.values()].filter((other) => isReady(other) && other.ejectedUntil > now)
        .length,
    otherAvailableMembers: (tracked) =>
      [...trackedByHost.values()].filter(
        (other) => other !== tracked && other.locality !== undefined,
      ),
    rebuild,
    replace: (members, now) => {
      removeExcept(new Set(members.map((member) => member.host)));
      members.forEach((member) => update(member, now));
      if (members.length > 0) firstListAt = Math.min(firstListAt, now);
      rebuild(now);
    },
  };
}
