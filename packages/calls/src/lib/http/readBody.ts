import type { IncomingMessage } from 'node:http';

import type { Clock } from '@buckthornslip/common';
import { createByteCollector } from '@buckthornslip/common';

import { BUFFER_LIMIT_BYTES } from './BUFFER_LIMIT_BYTES';
import type { CallScope } from './CallScope';
import { createIdleTimer } from './createIdleTimer';
import type { Refusal } from './Refusal';
import { refuse } from './refuse';
import type { RequestBody } from './RequestBody';

const EMPTY: RequestBody = { kind: 'whole', bytes: Buffer.alloc(0) };

/**
 * Limits of a request body.
 *
 * @internal
 */
export interface BodyLimits {
  readonly limitBytes: number;
  /** Idle timeout, in milliseconds. */
  readonly idleMilliseconds: number;
}

function collect(
  clock: Clock,
  request: IncomingMessage,
  scope: CallScope,
  limits: BodyLimits,
): Promise<RequestBody | Refusal> {
  return new Promise((resolve) => {
    const collector = createByteCollector();
    let stopListening = (): void => undefined;
    const idleTimer = createIdleTimer(clock, limits.idleMilliseconds, () =>
      finish(refuse('request-timeout')),
    );
    const onClose = (): void => finish(refuse('caller-gone'));
    const onEnd = (): void => finish({ kind: 'whole', bytes: collector.take() });
    const onData = (chunk: Buffer): void => {
      idleTimer.reset();
      collector.add(chunk);
      const size = collector.size();
      if (size > limits.limitBytes) finish(refuse('body-too-large'));
      else if (size > BUFFER_LIMIT_BYTES) {
        request.pause();
        request.unshift(collector.take());
        finish({ kind: 'stream', stream: request, length: undefined, ...limits });
      }
    };
    function finish(body: RequestBody | Refusal): void {
      idleTimer.stop();
      stopListening();
      request.off('data', onData).off('end', onEnd).off('close', onClose).pause();
      resolve(body);
    }
    request.on('error', () => undefined);
    request.on('close', onClose).on('end', onEnd).on('data', onData);
    if (request.destroyed && !request.readableEnded) onClose();
    stopListening = scope.onCancel(() => finish(refuse(scope.cancelReason() ?? 'caller-gone')));
  });
}

/**
 * Reads a small body into memory. A larger body is returned as a stream.
 *
 * @param clock - Source of time.
 * @param request - The request; its head has been checked.
 * @param scope - Cancellation scope of the call.
 * @param limits - Limits of size and idle time.
 * @returns The body, or the refusal.
 * @internal
 */
export async function readBody(
  clock: Clock,
  request: IncomingMessage,
  scope: CallScope,
  limits: BodyLimits,
): Promise<RequestBody | Refusal> {
  const declared = request.headers['content-length'];
  const isChunked = request.headers['transfer-encoding'] !== undefined;
  if (!isChunked && (declared === undefined || declared === '0')) return EMPTY;
  const length = declared === undefined ? undefined : Number(declared);
  if (length !== undefined && length > limits.limitBytes) return refuse('body-too-large');
  if (length !== undefined && length > BUFFER_LIMIT_BYTES) {
    return { kind: 'stream', stream: request, length, ...limits };
  }
  return collect(clock, request, scope, limits);
}
