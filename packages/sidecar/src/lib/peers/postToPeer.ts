import { createCallScope } from '@buckthornslip/calls';
import type { Clock } from '@buckthornslip/common';

import type { ConnectionAgent } from '../http/ConnectionAgent';
import { exchange } from '../http/exchange';

/** Longest time for a message between nodes, in milliseconds. A round trip between regions takes 60 ms. */
const MESSAGE_MILLISECONDS = 700;

/**
 * Sends a message to a node.
 *
 * @param clock - Source of time.
 * @param agent - Connections to the node.
 * @param path - What the message is for.
 * @param body - The message.
 * @returns Body of the answer, or undefined if the node did not answer with success.
 * @internal
 */
export async function postToPeer(
  clock: Clock,
  agent: ConnectionAgent,
  path: string,
  body: string,
): Promise<Buffer | undefined> {
  const scope = createCallScope(clock, MESSAGE_MILLISECONDS);
  const result = await exchange({
    agent,
    method: 'POST',
    target: path,
    headers: ['Host', `${agent.host}:${agent.port}`, 'Content-Type', 'application/json'],
    body: { kind: 'whole', bytes: Buffer.from(body) },
    scope,
    isOwnAnswer: () => true,
  });
  scope.end();
  if (result.kind !== 'whole' || result.response.statusCode !== 200) return undefined;
  return result.body;
}
