import { createHmac, timingSafeEqual } from 'node:crypto';

import type {
  AccountId,
  CallId,
  Clock,
  HostId,
  Incarnation,
  Priority,
  RootCallId,
} from '@buckthornslip/common';
import { failure, priorityRank, success } from '@buckthornslip/common';
import * as z from 'zod';

import type { CallContext } from './CallContext';
import type { ContextSigner } from './ContextSigner';

/** Length of the message authentication code, in bytes. */
const MAC_BYTES = 16;

/** Maximum length of a header value, in characters. */
const MAXIMUM_HEADER_LENGTH = 2_048;

type Purpose = 'peer' | 'upstream';

const payloadSchema = z.tuple([
  z.string(),
  z.string(),
  z.number(),
  z.string(),
  z.string(),
  z.string().nullable(),
  z.enum(Object.keys(priorityRank) as [Priority, ...Priority[]]),
  z.number().int().min(0),
  z.number(),
]);

type Payload = z.infer<typeof payloadSchema>;

function parsePayload(encoded: string): Payload | undefined {
  try {
    const json: unknown = JSON.parse(Buffer.from(encoded, 'base64url').toString('utf8'));
    return payloadSchema.safeParse(json).data;
  } catch {
    return undefined;
  }
}

function toContext(payload: Payload, deadlineWallMilliseconds: number): CallContext {
  const [rootCallId, host, incarnation, rootControlAddress, callId, account, priority, depth] =
    payload;
  return {
    rootCallId: rootCallId as RootCallId,
    rootNode: { host: host as HostId, incarnation: incarnation as Incarnation },
    rootControlAddress,
    callId: callId as CallId,
    account: (account ?? undefined) as AccountId | undefined,
    priority,
    depth,
    deadlineWallMilliseconds,
  };
}

/**
 * Creates a signer of call contexts.
 *
 * Between nodes the header contains the remaining time, because their clocks differ. Between a node and its upstream,
 * which share a host, it contains the deadline itself, so that time spent in the upstream counts.
 *
 * @param clock - Source of wall-clock time.
 * @param fleetSecret - Secret shared by the nodes.
 * @returns The signer.
 * @public
 */
export function createContextSigner(clock: Clock, fleetSecret: string): ContextSigner {
  const macOf = (purpose: Purpose, encoded: string): Buffer =>
    createHmac('sha256', fleetSecret)
      .update(`${purpose}.${encoded}`)
      .digest()
      .subarray(0, MAC_BYTES);

  const isAuthentic = (purpose: Purpose, encoded: string, code: string): boolean => {
    const received = Buffer.from(code, 'base64url');
    const expected = macOf(purpose, encoded);
    return received.length === MAC_BYTES && timingSafeEqual(received, expected);
  };

  const timeValue: Readonly<Record<Purpose, (deadline: number) => number>> = {
    peer: (deadline) => deadline - clock.wallMilliseconds(),
    upstream: (deadline) => deadline,
  };

  const deadlineOf: Readonly<Record<Purpose, (value: number) => number>> = {
    peer: (remaining) => clock.wallMilliseconds() + remaining,
    upstream: (deadline) => deadline,
  };

  return {
    sign: (context, purpose) => {
      const payload: Payload = [
        context.rootCallId,
        context.rootNode.host,
        context.rootNode.incarnation,
        context.rootControlAddress,
        context.callId,
        context.account ?? null,
        context.priority,
        context.depth,
        timeValue[purpose](context.deadlineWallMilliseconds),
      ];
      const encoded = Buffer.from(JSON.stringify(payload)).toString('base64url');
      return `${encoded}.${macOf(purpose, encoded).toString('base64url')}`;
    },
    verify: (header, purpose) => {
      if (!header) return failure({ kind: 'missing' });
      const [encoded, code, ...rest] = header.split('.');
      const isWellFormed =
        encoded && code && rest.length === 0 && header.length <= MAXIMUM_HEADER_LENGTH;
      if (!isWellFormed) return failure({ kind: 'malformed' });
      if (!isAuthentic(purpose, encoded, code)) return failure({ kind: 'forged' });
      const payload = parsePayload(encoded);
      if (!payload) return failure({ kind: 'malformed' });
      const deadline = deadlineOf[purpose](payload[8]);
      if (deadline <= clock.wallMilliseconds()) return failure({ kind: 'expired' });
      return success(toContext(payload, deadline));
    },
  };
}
