import type { HostId, Incarnation, RegionId, ZoneId } from '@buckthornslip/common';
import * as z from 'zod';

import type { MemberRecord } from '../member/MemberRecord';

const contactSchema = z.object({
  host: z.string().min(1),
  incarnation: z.number(),
  region: z.string(),
  zone: z.string(),
  peerAddress: z.string().min(1),
  controlAddress: z.string().min(1),
});

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/**
 * Parses the store value of a contact.
 *
 * @param text - The value.
 * @returns A record of version 0, which any record from the contact itself replaces; undefined if the
 *   value is invalid.
 * @internal
 */
export function parseContact(text: string): MemberRecord | undefined {
  const parsed = contactSchema.safeParse(parseJson(text));
  if (!parsed.success) return undefined;
  const { host, incarnation, region, zone, peerAddress, controlAddress } = parsed.data;
  return {
    host: host as HostId,
    incarnation: incarnation as Incarnation,
    version: 0,
    service: undefined,
    region: region as RegionId,
    zone: zone as ZoneId,
    peerAddress,
    controlAddress,
    slots: 0,
    connections: 0,
    state: 'starting',
    liveness: 'alive',
  };
}
