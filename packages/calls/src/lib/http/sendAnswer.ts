import type { ServerResponse } from 'node:http';

import { headerNames } from '@buckthornslip/wire';

import type { CallAnswer, CallResponse } from './CallAnswer';
import type { CallPathDependencies } from './CallPathDependencies';
import type { CallScope } from './CallScope';
import { relayBody } from './relayBody';
import { sendRefusal } from './sendRefusal';

function responseHeaders(answer: CallResponse): string[] {
  const headers = [...answer.headers];
  if (answer.load !== undefined) headers.push(headerNames.load, answer.load);
  return headers;
}

/** Resets the connection, which the caller sees as an error even if the framing does not show that data is missing. */
function abortResponse(response: ServerResponse): void {
  const { socket } = response;
  // In Node.js 20, a reset after the socket has ended writing fails and leaks the handle.
  if (socket?.writable === true) socket.resetAndDestroy();
  response.destroy();
}

async function sendBody(
  dependencies: CallPathDependencies,
  response: ServerResponse,
  answer: CallResponse,
  scope: CallScope,
): Promise<void> {
  if (Buffer.isBuffer(answer.body)) {
    response.end(answer.body);
    return;
  }
  const { body } = answer;
  const onCancel = (): void => {
    body.destroy();
  };
  const stopListening = scope.onCancel(onCancel);
  const { idleTimeoutMilliseconds } = answer;
  const end = await relayBody(dependencies.clock, body, response, { idleTimeoutMilliseconds });
  stopListening();
  if (end === 'complete') return;
  if (end === 'source-silent') answer.onIdleTimeout?.();
  body.destroy();
  abortResponse(response);
  if (end === 'sink-closed') return;
  dependencies.logger.log('responseTruncated', { cause: scope.cancelReason() ?? end });
}

/**
 * Sends an answer to a caller or peer. If the body cannot be completed, the connection is aborted.
 *
 * @param dependencies - Clock, metrics and logger.
 * @param response - Response to write the answer to.
 * @param answer - The answer.
 * @param scope - Cancellation scope of the call.
 * @internal
 */
export async function sendAnswer(
  dependencies: CallPathDependencies,
  response: ServerResponse,
  answer: CallAnswer,
  scope: CallScope,
): Promise<void> {
  if (answer.kind === 'refusal') {
    sendRefusal(dependencies, response, answer);
    return;
  }
  if (response.destroyed) {
    if (!Buffer.isBuffer(answer.body)) answer.body.destroy();
    return;
  }
  response.writeHead(answer.status, responseHeaders(answer));
  await sendBody(dependencies, response, answer, scope);
}
