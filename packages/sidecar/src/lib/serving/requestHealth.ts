import { createCallScope } from '@buckthornslip/calls';
import type { Clock } from '@buckthornslip/common';

import type { ConnectionPool } from '../http/ConnectionPool';
import { exchange } from '../http/exchange';
import type { CallProtocol } from '../protocol/CallProtocol';
import type { UpstreamInstance } from './UpstreamInstance';

/** Longest time for a health response, in milliseconds. It usually takes about 6. */
const TIMEOUT_MILLISECONDS = 1_000;

const EMPTY_BODY = { kind: 'whole', bytes: Buffer.alloc(0) } as const;

/** Dependencies of a health request. */
interface HealthRequest {
  readonly clock: Clock;
  readonly pool: ConnectionPool;
  readonly protocol: Pick<CallProtocol, 'readHealth'>;
  readonly instance: UpstreamInstance;
  readonly path: string;
  /** @returns Whether the request may be sent now. Asked when it gets an open connection, for which it may have waited. */
  readonly maySend: () => boolean;
}

/**
 * Asks the local upstream for its remaining cold time.
 *
 * @param request - Dependencies, the upstream and the path of its health responses.
 * @returns The time in milliseconds; undefined if there was no response of this upstream, or none that states it.
 * @internal
 */
export async function requestHealth(request: HealthRequest): Promise<number | undefined> {
  const { clock, instance, maySend, path, pool, protocol } = request;
  const scope = createCallScope(clock, TIMEOUT_MILLISECONDS);
  let coldMilliseconds: number | undefined;
  const result = await exchange({
    pool,
    method: 'GET',
    target: path,
    headers: ['Host', instance.address],
    body: EMPTY_BODY,
    scope,
    maySend,
    isExpectedResponse: ({ headers }) => {
      const head = protocol.readHealth(headers);
      coldMilliseconds = head.coldMilliseconds;
      return head.upstream === instance.id;
    },
  }).finally(scope.end);
  // Health responses are short; the rest of a long one is not read.
  if (result.kind === 'stream') result.response.destroy();
  return result.kind === 'failed' ? undefined : coldMilliseconds;
}
