import type { IncomingMessage, ServerResponse } from 'node:http';

import { createCallScope, forwardableHeaders } from '@buckthornslip/calls';
import type { Clock } from '@buckthornslip/common';

import { readRequestBody } from '../http/readRequestBody';
import { writeAnswer } from '../http/writeAnswer';
import type { Serving } from '../serving/createServing';
import { peerAnswerHeaders } from './peerAnswerHeaders';
import { decodePeerCall } from './peerCallCodec';
import { peerHeaderNames } from './peerHeaderNames';

function withoutCallHeader(raw: readonly string[]): string[] {
  const kept: string[] = [];
  for (let index = 0; index < raw.length; index += 2) {
    if (raw[index] !== peerHeaderNames.call) {
      kept.push(raw[index] as string, raw[index + 1] as string);
    }
  }
  return kept;
}

/**
 * Runs a call that another node has forwarded.
 *
 * @param clock - Source of time.
 * @param serving - Serving for the upstream beside this node.
 * @param request - The request between the nodes.
 * @param response - Where to answer.
 * @internal
 */
export async function handlePeerCall(
  clock: Clock,
  serving: Serving,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const call = decodePeerCall(String(request.headers[peerHeaderNames.call]));
  if (!call) {
    response.writeHead(400);
    response.end();
    return;
  }
  const scope = createCallScope(clock, call.remainingMilliseconds);
  response.once('close', () => {
    if (!response.writableFinished) scope.cancel('caller-gone');
    scope.end();
  });
  const body = await readRequestBody(request);
  if (!body) return;
  const served = await serving.serve({
    ...call,
    method: request.method as string,
    target: request.url as string,
    headers: withoutCallHeader(forwardableHeaders(request.rawHeaders)),
    body,
    scope,
  });
  if (response.destroyed) return;
  const added = peerAnswerHeaders(served);
  const { answer } = served;
  if (answer.kind === 'answer') {
    await writeAnswer(response, answer, added);
    return;
  }
  response.writeHead(200, [...added, 'Content-Length', '0']);
  response.end();
}
