import type { HostId, RegionId, ZoneId } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';

import type { Candidate } from '../candidates/Candidate';
import { createCandidate } from '../candidates/createCandidate';
import { ejectionLimit } from '../ejection/ejectionLimit';
import type { CandidateTable } from './CandidateTable';
import { createLevel } from './createLevel';
import type { Level } from './Level';
import { LEVEL_COUNT, levelIndex } from './levelIndex';

/** Time in which the first roster of a service becomes complete, in milliseconds. */
const ROSTER_MILLISECONDS = 2_000;

const isReady = ({ member }: Candidate): boolean => member.alive && member.state === 'ready';

function limitEjections(ready: readonly Candidate[], now: number): void {
  const ejected = ready
    .filter((candidate) => candidate.ejectedUntil > now)
    .sort((left, right) => left.ejectedUntil - right.ejectedUntil);
  const excess = Math.max(0, ejected.length - ejectionLimit(ready.length));
  ejected.slice(0, excess).forEach((candidate) => Object.assign(candidate, { ejectedUntil: 0 }));
}

/**
 * Creates the table of a service's members, sorted into levels.
 *
 * @param own - Region and zone of this node.
 * @returns An empty table.
 * @internal
 */
export function createCandidateTable(own: {
  readonly region: RegionId;
  readonly zone: ZoneId;
}): CandidateTable {
  const candidates = new Map<HostId, Candidate>();
  let levels: readonly Level[] = Array.from({ length: LEVEL_COUNT }, () => createLevel([]));
  let readyCount = 0;
  let rosterAt = Infinity;

  const rebuild = (now: number): void => {
    const all = [...candidates.values()];
    all.forEach((candidate) => Object.assign(candidate, { level: undefined }));
    const ready = all.filter(isReady);
    readyCount = ready.length;
    limitEjections(ready, now);
    const available = ready.filter((candidate) => candidate.ejectedUntil <= now);
    levels = levels.map((_, index) =>
      createLevel(available.filter(({ member }) => levelIndex(own, member) === index)),
    );
  };

  const update = (member: Member, now: number): void => {
    const known = candidates.get(member.host);
    if (!known || known.member.incarnation !== member.incarnation) {
      // The members of the first roster have been serving already and need no slow start.
      const isNew = now - rosterAt > ROSTER_MILLISECONDS;
      const created = createCandidate(member, isNew ? now : -Infinity);
      // Attempts at the earlier process still end and settle their bytes.
      if (known) Object.assign(created, { inFlight: known.inFlight, linkBytes: known.linkBytes });
      candidates.set(member.host, created);
      return;
    }
    const becomesReady = known.member.state !== 'ready' && member.state === 'ready';
    Object.assign(known, { member, readyAt: becomesReady ? now : known.readyAt });
  };

  /** A member whose attempts still run is kept, as one that has left, until they have ended. */
  const removeExcept = (hosts: ReadonlySet<HostId>): void => {
    const gone = [...candidates.values()].filter(({ member }) => !hosts.has(member.host));
    gone.forEach((candidate) => {
      const { member } = candidate;
      if (candidate.inFlight === 0) candidates.delete(member.host);
      else Object.assign(candidate, { member: { ...member, state: 'left' } });
    });
  };

  return {
    levels: () => levels,
    find: (host) => candidates.get(host),
    readyCount: () => readyCount,
    ejectedCount: (now) =>
      [...candidates.values()].filter((one) => isReady(one) && one.ejectedUntil > now).length,
    othersInUse: (candidate) =>
      [...candidates.values()].filter((one) => one !== candidate && one.level !== undefined),
    rebuild,
    replace: (members, now) => {
      removeExcept(new Set(members.map((member) => member.host)));
      members.forEach((member) => update(member, now));
      if (members.length > 0) rosterAt = Math.min(rosterAt, now);
      rebuild(now);
    },
  };
}
