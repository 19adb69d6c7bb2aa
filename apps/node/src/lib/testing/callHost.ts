import type { ReceivedResponse } from '@buckthornslip/app-standins';
import { sendRequest } from '@buckthornslip/app-standins';

import type { FleetHost } from './FleetHost';

/**
 * Sends a request to the node of a host. Methods other than GET carry a fixed small body, so that repeats have the same
 * request digest.
 *
 * @param host - The host.
 * @param key - Key of the client account.
 * @param path - Path of the request.
 * @param options - Method and idempotency key.
 * @returns The response.
 * @internal
 */
export async function callHost(
  host: FleetHost,
  key: string,
  path: string,
  options: { readonly method?: string; readonly idempotencyKey?: string } = {},
): Promise<ReceivedResponse> {
  const { method = 'GET', idempotencyKey } = options;
  const headers: Record<string, string> = { authorization: `Bearer ${key}` };
  if (idempotencyKey) headers['idempotency-key'] = idempotencyKey;
  const body = method === 'GET' ? undefined : Buffer.from('subsidy 12');
  return sendRequest({ address: host.callerAddress, path, method, headers, body });
}
