import type { Incarnation } from '@buckthornslip/common';

import { decodeRecord } from '../member/decodeRecord';
import type { MemberRecord } from '../member/MemberRecord';
import { membershipTimes } from '../node/membershipTimes';
import type { NodeContext } from '../node/NodeContext';
import type { MemberTable } from './MemberTable';

/**
 * Position in the sequence of changes of one responder's table, up to which the changes are known.
 *
 * @internal
 */
export interface RosterPosition {
  readonly incarnation: Incarnation;
  readonly sequence: number;
}

/**
 * Records pulled from a member, with the position for the next pull.
 *
 * @internal
 */
export interface PulledRoster {
  readonly position: RosterPosition;
  readonly isFull: boolean;
  readonly records: readonly MemberRecord[];
}

/**
 * Pulls the roster of a service from one of its members.
 *
 * @param context - Dependencies of the node.
 * @param table - Known members.
 * @param address - Control address of the member.
 * @param options - Position after the last pull from the same member, and whether the member should push
 *   changes to this node.
 * @returns The changed records; undefined if the node does not answer or is not a member.
 * @internal
 */
export async function pullRoster(
  context: NodeContext,
  table: MemberTable,
  address: string,
  options: { readonly position?: RosterPosition | undefined; readonly wantsPushes: boolean },
): Promise<PulledRoster | undefined> {
  const request = {
    service: table.service,
    digest: table.digest(),
    sequence: options.position?.sequence ?? 0,
    responderIncarnation: options.position?.incarnation ?? 0,
    subscriberAddress: options.wantsPushes ? context.self.current().controlAddress : '',
  };
  const { pullTimeout } = membershipTimes;
  const result = await context.peers.call(address, 'pullRoster', request, pullTimeout);
  if (!result.ok || !result.value.member) return undefined;
  const { incarnation, sequence, full, records } = result.value;
  return {
    position: { incarnation: incarnation as Incarnation, sequence },
    isFull: full,
    records: records.map(decodeRecord),
  };
}
