import type { HostId, Incarnation, RegionId, ServiceId, ZoneId } from '@buckthornslip/common';
import type { Member, MemberState } from '@buckthornslip/membership';
import type { channelMessages } from '@buckthornslip/wire';

const STATES: Readonly<Record<string, MemberState>> = {
  starting: 'starting',
  ready: 'ready',
  draining: 'draining',
  left: 'left',
};

/**
 * @param member - A record.
 * @returns The record as it travels between nodes.
 * @internal
 */
export function toMemberMessage(member: Member): channelMessages.Member {
  return { ...member, service: member.service ?? '' };
}

/**
 * @param message - A record as it travelled.
 * @returns The record; a state of a later release counts as not ready.
 * @internal
 */
export function fromMemberMessage(message: channelMessages.Member): Member {
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
    state: STATES[message.state] ?? 'starting',
    alive: true,
  };
}
