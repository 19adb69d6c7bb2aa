import type { IncomingMessage } from 'node:http';

import { forwardableHeaders, parseLoadHeader, refuse } from '@buckthornslip/calls';

import type { ConnectionAgent } from '../http/ConnectionAgent';
import { exchange } from '../http/exchange';
import type { ServedAnswer } from '../serving/ServedAnswer';
import type { ServingCall } from '../serving/ServingCall';
import { encodePeerCall } from './peerCallCodec';
import { peerHeaderNames } from './peerHeaderNames';
import { ANSWERED, decodeRefusal } from './peerResultCodec';

/** Whether an answer carries the mark of a node; anything else at the address is not a node. */
function isFromNode(response: IncomingMessage): boolean {
  return response.headers[peerHeaderNames.result] !== undefined;
}

function withoutPeerHeaders(raw: readonly string[]): string[] {
  const kept: string[] = [];
  for (let index = 0; index < raw.length; index += 2) {
    const name = raw[index] as string;
    if (name !== peerHeaderNames.result && name !== peerHeaderNames.load) {
      kept.push(name, raw[index + 1] as string);
    }
  }
  return kept;
}

/**
 * Sends one attempt to the node beside the chosen upstream.
 *
 * @param agent - Connections to that node.
 * @param call - The call.
 * @returns The answer; "may-have-run" when the connection was lost after the call had been sent.
 * @internal
 */
export async function sendToPeer(agent: ConnectionAgent, call: ServingCall): Promise<ServedAnswer> {
  const remainingMilliseconds = call.scope.remainingMilliseconds();
  const header = encodePeerCall({ ...call, remainingMilliseconds });
  const result = await exchange({
    agent,
    method: call.method,
    target: call.target,
    headers: [...call.headers, peerHeaderNames.call, header],
    body: call.body,
    scope: call.scope,
    isOwnAnswer: isFromNode,
  });
  if (result.kind === 'failed') {
    const outcome = result.sent ? 'may-have-run' : 'not-run';
    const reason = call.scope.cancelReason() ?? 'peer-unreachable';
    return { answer: refuse(reason, outcome), load: undefined };
  }
  const { headers, rawHeaders, statusCode } = result.response;
  const load = parseLoadHeader(headers[peerHeaderNames.load] as string | undefined);
  const text = headers[peerHeaderNames.result] as string;
  if (text !== ANSWERED) {
    return { answer: decodeRefusal(text) ?? refuse('peer-unreachable', 'may-have-run'), load };
  }
  return {
    answer: {
      kind: 'answer',
      status: statusCode as number,
      headers: withoutPeerHeaders(forwardableHeaders(rawHeaders)),
      body: result.kind === 'whole' ? result.body : result.head,
      rest: result.kind === 'whole' ? undefined : result.response,
    },
    load,
  };
}
