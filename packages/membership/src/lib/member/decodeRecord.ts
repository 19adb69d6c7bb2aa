import type { HostId, Incarnation, RegionId, ServiceId, ZoneId } from '@buckthornslip/common';
import type { membershipMessages } from '@buckthornslip/wire';

import type { Liveness } from './Liveness';
import type { MemberRecord } from './MemberRecord';
import type { MemberState } from './MemberState';

/** States in the order of their codes. */
const states: readonly MemberState[] = ['starting', 'ready', 'draining', 'left'];

/** Liveness values in the order of their codes. */
const livenessValues: readonly Liveness[] = ['alive', 'suspect', 'dead'];

/**
 * @param message - Message of another node.
 * @returns The record. Unknown codes are decoded as unusable: left or dead.
 * @internal
 */
export function decodeRecord(message: membershipMessages.MemberRecord): MemberRecord {
  return {
    host: message.host as HostId,
    incarnation: message.incarnation as Incarnation,
    version: message.version,
    service: message.service === '' ? undefined : (message.service as ServiceId),
    region: message.region as RegionId,
    zone: message.zone as ZoneId,
    peerAddress: message.peerAddress,
    controlAddress: message.controlAddress,
    slots: message.slots,
    connections: message.connections,
    state: states[message.state] ?? 'left',
    liveness: livenessValues[message.liveness] ?? 'dead',
  };
}
