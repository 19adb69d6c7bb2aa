import type { IncomingMessage } from 'node:http';

import { headerNames } from '@buckthornslip/wire';

import { singleHeader } from '../http/singleHeader';

/**
 * Reads the timeout of a request from its header.
 *
 * @param request - The request.
 * @param longestMilliseconds - Upper limit, from the route or the parent call, in milliseconds.
 * @returns The timeout, in milliseconds; undefined if the header is malformed.
 * @internal
 */
export function declaredTimeout(
  request: IncomingMessage,
  longestMilliseconds: number,
): number | undefined {
  const value = singleHeader(request, headerNames.timeout);
  if (value === undefined) return longestMilliseconds;
  if (!/^\d{1,9}$/.test(value)) return undefined;
  return Math.min(longestMilliseconds, Number(value));
}
