import type { PolicyRoute } from '@buckthornslip/config';

import type { RequestHead } from '../protocol/RequestHead';
import { DEFAULT_TIMEOUT_MILLISECONDS } from './DEFAULT_TIMEOUT_MILLISECONDS';

/**
 * @param head - Decoded headers of a request.
 * @param route - Its route.
 * @returns Time after which the request ends without an answer of an upstream, in milliseconds.
 * @internal
 */
export function timeoutOf(head: RequestHead, route: PolicyRoute): number {
  return Math.min(
    head.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS,
    route.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS,
  );
}
