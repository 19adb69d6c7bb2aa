import { createHash } from 'node:crypto';

import type { HostId, ZoneId } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';

import type { MemberTable } from './createMemberTable';
import { memoizeByRevision } from './memoizeByRevision';

/** Relays of each zone. Two of them may fail, or be refused by the store, at the same time. */
export const RELAYS_PER_ZONE = 3;

/**
 * Relays of all zones: the nodes of a zone that follow the store for it and pass changes on.
 *
 * @internal
 */
export interface ZoneRelays {
  /** @returns The relays of a zone by rank; fewer than usual if the zone has few live nodes. */
  readonly of: (zone: ZoneId) => readonly Member[];
  /** @returns All zones with live nodes. */
  readonly zones: () => readonly ZoneId[];
  /** @returns Rank of a node among the relays of its zone; undefined if it is not a relay. */
  readonly rankOf: (member: Member) => number | undefined;
  /** @returns Rank of a node among all live nodes of its zone, of which the first are the relays. */
  readonly rankInZone: (member: Member) => number;
}

const canRelay = ({ alive, state }: Member): boolean => alive && state !== 'left';

/**
 * Selects the relays of each zone by rendezvous hashing over the live nodes. Nodes with the same member table agree on
 * the relays without any message, and the next node by rank replaces one that fails.
 *
 * @param table - Member table.
 * @returns The relays, which follow the table.
 * @internal
 */
export function createZoneRelays(table: Pick<MemberTable, 'all' | 'revision'>): ZoneRelays {
  const weights = new Map<HostId, string>();

  const weightOf = ({ host }: Member): string => {
    const known = weights.get(host);
    if (known !== undefined) return known;
    const weight = createHash('sha256').update(`relay\n${host}`).digest('hex');
    weights.set(host, weight);
    return weight;
  };

  const selectRelays = memoizeByRevision(table.revision, () => {
    const byZone = new Map<ZoneId, Member[]>();
    table
      .all()
      .filter(canRelay)
      .forEach((member) => {
        const relays = byZone.get(member.zone) ?? [];
        const weight = weightOf(member);
        const rank = relays.findIndex((relay) => weight < weightOf(relay));
        relays.splice(rank < 0 ? relays.length : rank, 0, member);
        if (relays.length > RELAYS_PER_ZONE) relays.pop();
        byZone.set(member.zone, relays);
      });
    return byZone;
  });

  const relaysOf = (zone: ZoneId): readonly Member[] => selectRelays().get(zone) ?? [];

  return {
    of: relaysOf,
    zones: () => [...selectRelays().keys()],
    rankOf: ({ host, zone }) => {
      const rank = relaysOf(zone).findIndex((relay) => relay.host === host);
      return rank < 0 ? undefined : rank;
    },
    rankInZone: (member) => {
      const weight = weightOf(member);
      return table
        .all()
        .filter((other) => other.zone === member.zone && canRelay(other))
        .filter((other) => weightOf(other) < weight).length;
    },
  };
}
