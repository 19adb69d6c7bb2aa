import * as z from 'zod';

import { idSchema } from '../manifest/schemas/idSchema';
import { positiveInteger } from '../manifest/schemas/positiveInteger';
import type { ListenAddress } from './ListenAddress';
import { parseListenAddress } from './parseListenAddress';

const DAY_MILLISECONDS = 86_400_000;

const UNSPECIFIED_ADDRESSES: readonly string[] = ['0.0.0.0', '::'];

function isLoopback({ address }: ListenAddress): boolean {
  return address.startsWith('127.') || address === '::1';
}

function isNotWildcard({ address }: ListenAddress): boolean {
  return !UNSPECIFIED_ADDRESSES.includes(address);
}

const listenerSchema = z.string().transform((text, context): ListenAddress => {
  const address = parseListenAddress(text);
  if (address !== undefined) return address;
  context.addIssue({ code: 'custom', message: 'use an IP address and port: "10.0.0.7:8080"' });
  return z.NEVER;
});

/** These addresses are announced to other processes, which cannot connect to a wildcard address. */
const announcedListenerSchema = listenerSchema.refine(isNotWildcard, {
  message: 'this address is announced to other processes and must not be a wildcard',
});

const endpointSchema = z
  .string()
  .refine((text) => parseListenAddress(text) !== undefined, 'use an IP address and port');

const listenersSchema = z
  .strictObject({
    callers: announcedListenerSchema,
    outgoing: listenerSchema.refine(isLoopback, {
      message: 'the listener for outgoing calls is not authenticated and must be on loopback',
    }),
    peers: announcedListenerSchema,
    control: announcedListenerSchema,
    admin: listenerSchema,
  })
  .refine(
    (listeners) => {
      const names = Object.values(listeners).map(({ address, port }) => `${address} ${port}`);
      return new Set(names).size === names.length;
    },
    { message: 'two listeners have the same address and port' },
  );

/**
 * Schema of a node's settings document.
 *
 * @internal
 */
export const settingsSchema = z.strictObject({
  host: idSchema,
  region: idSchema,
  zone: idSchema,
  listeners: listenersSchema,
  store: z.strictObject({ endpoints: z.array(endpointSchema).min(1) }),
  seeds: z.array(endpointSchema).default([]),
  fleet_secret: z.string().optional(),
  fleet_secret_file: z.string().min(1).optional(),
  fleet_secret_environment: z.string().min(1).optional(),
  stop_limit_milliseconds: positiveInteger(DAY_MILLISECONDS).default(300_000),
  freshness_limit_milliseconds: positiveInteger(DAY_MILLISECONDS).default(3_000),
  log_level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});

/**
 * A valid settings document.
 *
 * @internal
 */
export type SettingsDocument = z.infer<typeof settingsSchema>;
