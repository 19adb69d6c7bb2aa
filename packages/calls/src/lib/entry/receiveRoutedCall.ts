import type { IncomingMessage } from 'node:http';

import type { RefusalReason } from '@buckthornslip/common';
import type { RouteDefinition } from '@buckthornslip/config';

import type { CallContext } from '../context/CallContext';
import type { CallAnswer } from '../http/CallAnswer';
import type { CallPathDependencies } from '../http/CallPathDependencies';
import type { CallScope } from '../http/CallScope';
import { fingerprint } from '../http/fingerprint';
import { forwardableHeaders } from '../http/forwardableHeaders';
import { readBody } from '../http/readBody';
import type { Refusal } from '../http/Refusal';
import type { CallForwarder } from './CallForwarder';
import { idempotencyKeyOf } from './idempotencyKeyOf';

/**
 * A request whose route and context have been determined.
 *
 * @internal
 */
export interface RoutedRequest {
  readonly request: IncomingMessage;
  readonly route: RouteDefinition;
  readonly target: string;
  readonly context: CallContext;
  readonly scope: CallScope;
  readonly bodyIdleMilliseconds: number;
  /** Encodings of the API key, which must not be forwarded. */
  readonly keyEncodings: readonly string[];
  readonly stopReason: () => RefusalReason | undefined;
  readonly onAttempt: () => void;
  /** Final check before the call is sent; receives the digest of method, target and body. */
  readonly beforeSending?: (requestDigest: string) => Promise<Refusal | undefined>;
}

/**
 * Receives the body of a request and sends the call to a serving node.
 *
 * @param dependencies - Clock, metrics, logger and forwarder.
 * @param routed - The request with its route and context.
 * @returns The answer.
 * @internal
 */
export async function receiveRoutedCall(
  dependencies: CallPathDependencies & { readonly forwarder: CallForwarder },
  routed: RoutedRequest,
): Promise<CallAnswer> {
  const { context, keyEncodings, request, route, scope, target } = routed;
  const method = request.method as string;
  const scopedKey = idempotencyKeyOf(request, route, context.account);
  if (!scopedKey.ok) return scopedKey.error;
  const limits = {
    limitBytes: route.bodyLimitBytes,
    idleMilliseconds: routed.bodyIdleMilliseconds,
  };
  const body = await readBody(dependencies.clock, request, scope, limits);
  if (body.kind === 'refusal') return body;
  const requestDigest = fingerprint([method, target], body);
  const refused = await routed.beforeSending?.(requestDigest);
  if (refused !== undefined) return refused;
  return dependencies.forwarder.forward({
    context,
    route,
    method,
    target,
    headers: forwardableHeaders(request.rawHeaders, { keyEncodings }),
    body,
    scope,
    fingerprint: `${context.account ?? ''} ${scopedKey.value ?? requestDigest}`,
    requestDigest,
    scopedKey: scopedKey.value,
    stopReason: routed.stopReason,
    onAttempt: routed.onAttempt,
  });
}
