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

/** A reset is an error to the caller even where the framing of the body would not show that bytes are missing. */
function abortResponse(response: ServerResponse): void {
  const { socket } = response;
  // A reset after the end of writing fails in Node.js 20 and leaves the handle open.
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
 * Writes an answer to a caller or peer. A response that is cut short ends the connection.
 *
 * @param dependencies - Clock, metrics and logger.
 * @param response - Where to answer.
 * @param answer - The answer.
 * @param scope - Lifetime of the call.
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
