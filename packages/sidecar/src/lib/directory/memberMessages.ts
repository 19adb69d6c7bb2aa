import type {
  HostId,
  Incarnation,
  RegionId,
  ServiceId,
  UpstreamId,
  ZoneId,
} from '@buckthornslip/common';
import type { Member, MemberDeparture, MemberState } from '@buckthornslip/membership';
import type { channelMessages } from '@buckthornslip/wire';

import { isAddress } from './isAddress';
import { isCount } from './isCount';
import { recordLimits } from './recordLimits';

const STATES: Readonly<Record<string, MemberState>> = {
  starting: 'starting',
  ready: 'ready',
  draining: 'draining',
  left: 'left',
};

/**
 * @param member - A member record.
 * @returns The record in wire form.
 * @internal
 */
export function toMemberMessage(member: Member): channelMessages.Member {
  const { departure, ...fields } = member;
  return {
    ...fields,
    service: member.service ?? '',
    departedId: departure?.id ?? '',
    departedStartedMilliseconds: departure?.startedMilliseconds ?? 0,
    departedState: departure?.state ?? '',
  };
}

function departureOf(message: channelMessages.Member): MemberDeparture {
  return {
    id: message.departedId as UpstreamId,
    startedMilliseconds: message.departedStartedMilliseconds,
    state: message.departedState === 'draining' ? 'draining' : 'left',
  };
}

/**
 * @param message - A member record in wire form.
 * @returns The record, or undefined if it lacks a host, zone, region or usable address, or has a number out of range. An
 *   unknown state of a later release is read as "starting".
 * @internal
 */
export function fromMemberMessage(message: channelMessages.Member): Member | undefined {
  const { host, peerAddress, region, zone } = message;
  if (host === '' || region === '' || zone === '' || !isAddress(peerAddress)) return undefined;
  if (!isCount(message.incarnation, recordLimits.incarnation)) return undefined;
  if (!isCount(message.version, recordLimits.version)) return undefined;
  return {
    host: host as HostId,
    incarnation: message.incarnation as Incarnation,
    version: message.version,
    service: message.service === '' ? undefined : (message.service as ServiceId),
    region: region as RegionId,
    zone: zone as ZoneId,
    peerAddress,
    controlAddress: message.controlAddress,
    slots: message.slots,
    connections: message.connections,
    state: STATES[message.state] ?? 'starting',
    alive: true,
    ...(message.departedId === '' ? {} : { departure: departureOf(message) }),
  };
}
