import type { HostId, Incarnation, RegionId, ServiceId, ZoneId } from '@buckthornslip/common';
import type { Member, MemberState } from '@buckthornslip/membership';

import { isAddress } from './isAddress';
import { isCount } from './isCount';
import { recordLimits } from './recordLimits';

const STATES: ReadonlySet<unknown> = new Set<MemberState>([
  'starting',
  'ready',
  'draining',
  'left',
]);

const isText = (value: unknown): value is string => typeof value === 'string' && value !== '';

/**
 * Validates a record written by another node. It is written by hand because a schema library would use a tenth of the
 * node's memory for this one message.
 *
 * @param value - Decoded JSON.
 * @returns The record, or undefined if it is malformed.
 * @internal
 */
export function parseMember(value: unknown): Member | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const record = value as Readonly<Record<keyof Member, unknown>>;
  const { controlAddress, host, peerAddress, region, service, state, zone } = record;
  const { connections, incarnation, slots, version } = record;
  const hasLocation = isText(host) && isText(region) && isText(zone);
  const hasAddresses = isAddress(peerAddress) && isAddress(controlAddress);
  if (!hasLocation || !hasAddresses || !STATES.has(state)) return undefined;
  if (!isCount(incarnation, recordLimits.incarnation)) return undefined;
  if (!isCount(version, recordLimits.version)) return undefined;
  if (!isCount(slots, recordLimits.slots) || !isCount(connections, recordLimits.slots)) {
    return undefined;
  }
  if (service !== undefined && !isText(service)) return undefined;
  return {
    host: host as HostId,
    incarnation: incarnation as Incarnation,
    version,
    service: service as ServiceId | undefined,
    region: region as RegionId,
    zone: zone as ZoneId,
    peerAddress,
    controlAddress,
    slots,
    connections,
    state: state as MemberState,
    alive: true,
  };
}
