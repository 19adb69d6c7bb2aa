import type { IncomingMessage } from 'node:http';

import type { AccountId, Result } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';
import type { RouteDefinition } from '@buckthornslip/config';
import { headerNames } from '@buckthornslip/wire';

import type { Refusal } from '../http/Refusal';
import { refuse } from '../http/refuse';
import { singleHeader } from '../http/singleHeader';

const KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;

/**
 * Reads the idempotency key of a request.
 *
 * @param request - The request.
 * @param route - Its route; keys are only used on non-repeatable routes.
 * @param account - Its account; keys are scoped to their account.
 * @returns Account and key in one string, undefined if there is no key to use, or the refusal.
 * @internal
 */
export function idempotencyKeyOf(
  request: IncomingMessage,
  route: RouteDefinition,
  account: AccountId | undefined,
): Result<string | undefined, Refusal> {
  if (route.repeatable) return success(undefined);
  const key = singleHeader(request, headerNames.idempotencyKey);
  if (key === undefined) {
    return route.idempotencyKey === 'required'
      ? failure(refuse('idempotency-key-required'))
      : success(undefined);
  }
  if (!KEY_PATTERN.test(key)) return failure(refuse('header-invalid'));
  return success(`${account ?? ''}/${key}`);
}
