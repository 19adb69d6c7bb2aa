import type { RandomSource } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';

/** Groups of nodes from which partners are chosen; this node is in none of them. */
interface PartnerGroups {
  readonly isRelay: () => boolean;
  readonly isInZone: (member: Member) => boolean;
  /** @returns All known nodes, also dead and departed ones. */
  readonly others: () => readonly Member[];
  readonly livePeers: () => readonly Member[];
  /** @returns Live nodes of the own zone. */
  readonly zonePeers: () => readonly Member[];
  /** @returns Relays of the own zone. */
  readonly otherRelays: () => readonly Member[];
  /** @returns A relay of each other zone. */
  readonly remoteRelays: () => readonly Member[];
}

/**
 * Creates the choice of the nodes with which this node exchanges its member table.
 *
 * @param random - Source of random numbers.
 * @param groups - Groups of nodes.
 * @returns A function that returns the partners of a round.
 * @internal
 */
export function createExchangePartners(
  random: RandomSource,
  groups: PartnerGroups,
): (round: number) => readonly Member[] {
  const { isInZone, isRelay, livePeers, otherRelays, others, remoteRelays, zonePeers } = groups;

  const pickRandom = (members: readonly Member[]): Member | undefined =>
    members[random.nextInteger(Math.max(1, members.length))];

  /**
   * A node that restarted during a store outage knows no other node, so the others contact it, even if it had left
   * gracefully before. Each zone cares for its own nodes, and its relays for all.
   */
  const pickDeparted = (): Member | undefined =>
    pickRandom(
      others().filter(
        (member) => (!member.alive || member.state === 'left') && (isRelay() || isInZone(member)),
      ),
    );

  const relayOfRound = (round: number): Member | undefined => {
    const relays = otherRelays();
    return relays[round % Math.max(1, relays.length)];
  };

  return (round) => {
    const own = isRelay() ? pickRandom(zonePeers()) : relayOfRound(round);
    const remote = isRelay() && round % 2 === 0 ? pickRandom(remoteRelays()) : undefined;
    const departed = round % 2 === 1 ? pickDeparted() : undefined;
    return [own ?? pickRandom(livePeers()), remote, departed].filter(
      (member) => member !== undefined,
    );
  };
}
