import { isIP } from 'node:net';

import type { ServiceId } from '@buckthornslip/common';
import * as z from 'zod';

import { splitAddress } from '../http/splitAddress';

function isAddress(text: string): boolean {
  const { host, port } = splitAddress(text);
  return isIP(host) !== 0 && Number.isInteger(port) && port > 0 && port < 65_536;
}

const count = z.number().int().min(1).max(100_000);

/**
 * Schema of an announcement.
 *
 * @internal
 */
export const announcementSchema = z.strictObject({
  service: z
    .string()
    .regex(/^[\w.-]{1,128}$/)
    .transform((text) => text as ServiceId),
  address: z.string().refine(isAddress, 'must be an IP address and a port'),
  slots: count,
  connections: count,
  state: z.enum(['starting', 'ready', 'draining', 'left']),
  coldStartMilliseconds: z.number().int().min(0).max(3_600_000),
});
