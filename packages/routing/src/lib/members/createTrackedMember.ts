import type { Member } from '@buckthornslip/membership';

import type { TrackedMember } from './TrackedMember';

/**
 * @param member - The member.
 * @param readyAt - Monotonic time at which its slow start begins, in milliseconds.
 * @returns A tracked member without load, attempts or failures.
 * @internal
 */
export function createTrackedMember(member: Member, readyAt: number): TrackedMember {
  return {
    member,
    load: undefined,
    loadAt: 0,
    inFlight: 0,
    inFlightAtReport: 0,
    workInFlight: 0,
    workInFlightAtReport: 0,
    locality: undefined,
    countedLoad: 0,
    linkBytes: 0,
    readyAt,
    failures: 0,
    timeouts: 0,
    errors: 0,
    errorShare: 0,
    ejections: 0,
    ejectedUntil: 0,
  };
}
