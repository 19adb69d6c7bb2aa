import { fingerprint } from '@buckthornslip/calls';

import type { CallAttempt } from './CallAttempt';

/** Bytes of a streamed body that are compared, besides its declared length. */
const COMPARED_BODY_BYTES = 16_384;

/** Fingerprints that were computed before; a call is compared several times while it is served. */
const known = new WeakMap<CallAttempt, string>();

function compute({ account, body, method, route, target }: CallAttempt): string {
  const parts = [route, method, target, account ?? ''];
  if (body.kind === 'whole') return fingerprint(parts, body);
  const bytes = body.head.subarray(0, COMPARED_BODY_BYTES);
  return fingerprint([...parts, `length ${body.length ?? 'unknown'}`], { kind: 'whole', bytes });
}

/**
 * @param call - A call.
 * @returns What is equal for equal requests, whatever their ids.
 * @internal
 */
export function fingerprintOf(call: CallAttempt): string {
  const computed = known.get(call) ?? compute(call);
  known.set(call, computed);
  return computed;
}
