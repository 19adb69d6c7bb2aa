import type { ClientRequest, IncomingMessage } from 'node:http';
import { request as httpRequest } from 'node:http';
import type { Socket } from 'node:net';
import type { Readable } from 'node:stream';

import { framingHeaders } from '@buckthornslip/calls';
import { createByteCollector } from '@buckthornslip/common';

import { coalesce } from './coalesce';
import type { ExchangeRequest } from './ExchangeRequest';
import type { ExchangeFailure, ExchangeResult } from './ExchangeResult';
import { whenClosed } from './whenClosed';

/** Longest response that is buffered until it is complete, in bytes. Longer ones are streamed. */
const MAXIMUM_BUFFERED_RESPONSE_BYTES = 131_072;

/** Pieces of a response after which they are joined before they are collected. */
const MAXIMUM_DIRECT_PIECES = 64;

/** Most interim (1xx) responses of one request. Without a limit, their events would delay the timers of the process. */
const MAXIMUM_INTERIM_RESPONSES = 16;

function sendBody({ body }: ExchangeRequest, request: ClientRequest): void {
  if (body.kind === 'whole') {
    request.end(body.bytes.length > 0 ? body.bytes : undefined);
    return;
  }
  if (body.head.length > 0) request.write(body.head);
  body.stream.pipe(request);
  whenClosed(body.stream, () => {
    if (!body.stream.readableEnded) request.destroy();
  });
}

/**
 * Detects a reset at the end of a response without a length. Node.js reports a reset that directly follows data as a
 * regular end of the stream; only the missing remote address then shows that the connection was reset.
 *
 * @param response - The response.
 * @param onReset - Called before the response ends.
 */
function watchUnframedEnd({ headers, socket }: IncomingMessage, onReset: () => void): void {
  const isFramed =
    headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
  if (isFramed) return;
  socket.prependOnceListener('end', () => {
    if (socket.remoteAddress === undefined) onReset();
  });
}

/** Handles an error after the exchange has ended; without a listener it would end the process. */
function ignoreLateError(): void {}

/**
 * Sends one request and waits for the complete response, or for the first part of a long one. After a failure the
 * connection is closed, so that a late response can't be read as the response to another request.
 *
 * @param options - The request.
 * @returns The response, or how the exchange failed.
 * @internal
 */
export function exchange(options: ExchangeRequest): Promise<ExchangeResult> {
  const { method, pool, scope, target } = options;
  const { headBytes = Infinity } = options;
  const bufferedBytes = Math.min(MAXIMUM_BUFFERED_RESPONSE_BYTES, headBytes);
  return new Promise((resolve) => {
    let isSettled = false;
    let isSent = false;
    let received: IncomingMessage | undefined;
    let streamed: IncomingMessage | undefined;
    let stopListening: (() => void) | undefined;
    let connectTimer: NodeJS.Timeout | undefined;
    let interimResponses = 0;
    const request = httpRequest({
      agent: pool.agent,
      host: pool.host,
      port: pool.port,
      method,
      path: target,
      headers: [...options.headers, ...framingHeaders(method, options.body)],
      setHost: false,
    });

    const settle = (result: ExchangeResult): void => {
      if (isSettled) return;
      isSettled = true;
      clearTimeout(connectTimer);
      // A response that is still being received remains subject to the deadline.
      if (result.kind === 'stream') request.once('close', () => stopListening?.());
      else stopListening?.();
      resolve(result);
    };
    const fail = (failure: ExchangeFailure): void => {
      settle({ kind: 'failed', failure, sent: isSent });
      // A response that has been received is delivered, also if its reader is slow.
      if (streamed?.complete) return;
      // Must come first: destroying the request would let a response without a length end as if it were complete.
      streamed?.destroy(new Error(`response failed: ${failure}`));
      request.destroy();
    };
    const failConnection = (): void => {
      // The connection may be released before the last pieces of a complete response have been read.
      if (received?.complete) return;
      if (received) fail('truncated');
      else fail(isSent ? 'reset' : 'unconnected');
    };

    const collect = (response: IncomingMessage): void => {
      const { pacer } = pool;
      const collector = createByteCollector();
      let pieces = 0;
      let source: Readable = response;
      const onData = (piece: Buffer): void => {
        collector.add(piece);
        pieces += 1;
        if (collector.size() > bufferedBytes) {
          source.off('data', onData);
          // Without a listener, a flowing stream would lose what follows.
          if (source !== response) source.pause();
          streamed = response;
          const rest = source === response ? coalesce(response, { pacer }) : source;
          const collected = collector.take();
          if (collected.length > headBytes) rest.unshift(collected.subarray(headBytes));
          settle({ kind: 'stream', response, head: collected.subarray(0, headBytes), rest });
        } else if (pieces === MAXIMUM_DIRECT_PIECES) joinPieces();
      };
      const onEnd = (): void => {
        if (!response.complete) fail('truncated');
        else settle({ kind: 'whole', response, body: collector.take() });
      };
      const onBroken = (): void => fail('truncated');
      const listen = (): void => {
        source.on('data', onData).once('end', onEnd).once('error', onBroken);
        source.once('close', onBroken);
      };

      function joinPieces(): void {
        if (source !== response) return;
        source.off('data', onData).off('end', onEnd).off('error', onBroken).off('close', onBroken);
        source = coalesce(response, { pacer });
        listen();
      }

      listen();
    };

    const sendUnlessWithheld = (): void => {
      if (options.maySend?.() === false) fail('withheld');
      else isSent = true;
    };

    request.once('socket', (socket: Socket) => {
      if (!socket.connecting) {
        sendUnlessWithheld();
        return;
      }
      connectTimer = setTimeout(failConnection, pool.connectMilliseconds);
      // Precedes the listener with which Node.js writes the request, because that is added with the first bytes.
      socket.once('connect', () => {
        clearTimeout(connectTimer);
        if (!isSettled) sendUnlessWithheld();
      });
    });
    request.on('information', () => {
      interimResponses += 1;
      if (interimResponses > MAXIMUM_INTERIM_RESPONSES) fail('truncated');
    });
    request.once('response', (response: IncomingMessage) => {
      if (!options.isExpectedResponse(response)) {
        response.once('error', ignoreLateError);
        fail('foreign');
        return;
      }
      received = response;
      if (options.retiresConnection?.(response)) request.shouldKeepAlive = false;
      watchUnframedEnd(response, () => fail('truncated'));
      collect(response);
    });
    request.on('error', failConnection);
    request.once('close', failConnection);
    sendBody(options, request);
    stopListening = scope.onCancel(() => fail('cancelled'));
  });
}
