import type { Agent, IncomingMessage } from 'node:http';

import { headerNames } from '@buckthornslip/wire';

import { sendRequest } from '../http/sendRequest';

/**
 * Makes the nested calls of a call through the node, with the context of the call.
 *
 * @param node - "address:port" of the node's outgoing listener.
 * @param agent - Connection pool to the node.
 * @param request - Request of the parent call.
 * @param paths - Paths to request, one after another.
 * @param signal - Cancels the calls.
 * @returns Status of each call up to the first that fails.
 * @internal
 */
export async function callChain(
  node: string,
  agent: Agent,
  request: IncomingMessage,
  paths: readonly string[],
  signal: AbortSignal,
): Promise<readonly number[]> {
  const context = request.headers[headerNames.context];
  const headers = context === undefined ? {} : { [headerNames.context]: context };
  const statuses: number[] = [];
  for (const path of paths) {
    const sent = { address: node, method: 'GET', path, headers, agent, signal };
    const { status } = await sendRequest(sent);
    statuses.push(status);
    if (status >= 400) break;
  }
  return statuses;
}
