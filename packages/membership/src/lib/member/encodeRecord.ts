import { membershipMessages } from '@buckthornslip/wire';

import type { Liveness } from './Liveness';
import type { MemberRecord } from './MemberRecord';
import type { MemberState } from './MemberState';

const { MemberState: StateCode, Liveness: LivenessCode } = membershipMessages;

const stateCodes: Readonly<Record<MemberState, membershipMessages.MemberState>> = {
  starting: StateCode.MEMBER_STATE_STARTING,
  ready: StateCode.MEMBER_STATE_READY,
  draining: StateCode.MEMBER_STATE_DRAINING,
  left: StateCode.MEMBER_STATE_LEFT,
};

const livenessCodes: Readonly<Record<Liveness, membershipMessages.Liveness>> = {
  alive: LivenessCode.LIVENESS_ALIVE,
  suspect: LivenessCode.LIVENESS_SUSPECT,
  dead: LivenessCode.LIVENESS_DEAD,
};

/**
 * @param record - A record.
 * @returns The record as a protobuf message.
 * @internal
 */
export function encodeRecord(record: MemberRecord): membershipMessages.MemberRecord {
  return {
    ...record,
    service: record.service ?? '',
    state: stateCodes[record.state],
    liveness: livenessCodes[record.liveness],
  };
}
