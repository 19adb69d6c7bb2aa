import * as z from 'zod';

import type { LeaseRecord } from '../manager/LeaseRecord';

const nodeSchema = z.object({
  host: z.string(),
  incarnation: z.number(),
  controlAddress: z.string(),
});

const recordSchema = z.object({
  partition: z.string(),
  epoch: z.int().positive(),
  renewal: z.int().nonnegative(),
  holder: nodeSchema,
  candidates: z.array(nodeSchema),
  termMilliseconds: z.number().positive(),
  handedOver: z.boolean(),
});

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/**
 * @param value - Store value.
 * @returns The record, or undefined if the value is invalid.
 * @internal
 */
export function decodeLeaseRecord(value: Uint8Array): LeaseRecord | undefined {
  const parsed = recordSchema.safeParse(parseJson(Buffer.from(value).toString()));
  return parsed.success ? (parsed.data as unknown as LeaseRecord) : undefined;
}
