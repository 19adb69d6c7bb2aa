import type { IncomingMessage } from 'node:http';

import type { Result } from '@buckthornslip/common';
import { createByteCollector, failure, success } from '@buckthornslip/common';

import { coalesce } from './coalesce';
import type { PiecePacer } from './createPiecePacer';
import { limitBody } from './limitBody';
import type { RequestBody } from './RequestBody';

/** Part of a streamed body that is read first, in bytes. Requests with equal lengths are told apart by it. */
const MINIMUM_HEAD_BYTES = 16_384;

const EMPTY_BODY: RequestBody = { kind: 'whole', bytes: Buffer.alloc(0) };

/** Why there is no body: the caller disconnected before its end, or it exceeds the limit. */
export type BodyFailure = 'caller-gone' | 'body-too-large';

/** Limits of a body. */
interface BodyLimits {
  /** Longest body that is accepted, in bytes. */
  readonly acceptedBytes: number;
  /** Longest body that is buffered, in bytes. Only a buffered body can be sent to a second upstream. */
  readonly bufferedBytes: number;
  readonly pacer: PiecePacer;
  /** Called when a streamed body turns out to be longer than accepted. */
  readonly onExceeded: () => void;
}

function declaredLength(request: IncomingMessage): number | undefined {
  const text = request.headers['content-length'];
  return text === undefined ? undefined : Number(text);
}

/**
 * Reads the body of a request. Short bodies are buffered, longer ones are returned as a stream.
 *
 * @param request - The request.
 * @param limits - Longest bodies that are accepted and buffered.
 * @returns The body.
 * @internal
 */
export function readRequestBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<Result<RequestBody, BodyFailure>> {
  const { acceptedBytes, bufferedBytes, onExceeded, pacer } = limits;
  const length = declaredLength(request);
  const isChunked = request.headers['transfer-encoding'] !== undefined;
  if (!isChunked && (length === undefined || length === 0)) {
    return Promise.resolve(success(EMPTY_BODY));
  }
  if (length !== undefined && length > acceptedBytes) {
    return Promise.resolve(failure('body-too-large'));
  }
  const isStreamed = length !== undefined && length > bufferedBytes;
  const keptBytes = isStreamed ? MINIMUM_HEAD_BYTES : Math.min(bufferedBytes, acceptedBytes);
  // Bodies in chunks and long ones may arrive in many pieces. The caller's connection must outlive its body, so that the caller
  // gets a response.
  const source =
    isChunked || isStreamed
      ? coalesce(request, { pacer, closeSource: () => request.pause() })
      : request;
  return new Promise((resolve) => {
    const collector = createByteCollector();
    const onData = (piece: Buffer): void => {
      collector.add(piece);
      const size = collector.size();
      if (size <= keptBytes) return;
      // Without a listener, a flowing stream would lose what follows.
      source.off('data', onData).pause();
      if (size > acceptedBytes) {
        resolve(failure('body-too-large'));
        return;
      }
      const stream = isStreamed
        ? source
        : limitBody(request, source, acceptedBytes - size, onExceeded);
      resolve(success({ kind: 'stream', stream, length, head: collector.take() }));
    };
    source.on('data', onData);
    source.once('end', () => resolve(success({ kind: 'whole', bytes: collector.take() })));
    source.once('close', () => resolve(failure('caller-gone')));
  });
}
