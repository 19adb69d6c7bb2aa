import type { ClientRequest, IncomingMessage } from 'node:http';
import { request as httpRequest } from 'node:http';
import type { Socket } from 'node:net';

import type { Clock } from '@buckthornslip/common';

import type { IdleTimer } from './createIdleTimer';
import { createIdleTimer } from './createIdleTimer';
import type { Exchange } from './Exchange';
import type { ExchangeResult } from './ExchangeResult';
import { framingHeaders } from './framingHeaders';
import type { RelayEnd } from './relayBody';
import { relayBody } from './relayBody';
import type { RequestBody } from './RequestBody';

/** Timeout for connecting, in milliseconds. Connecting takes 1 ms within a region and 30 ms between regions. */
const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

type Cause = (ExchangeResult & { kind: 'failed' })['cause'];

function framedHeaders(exchange: Exchange): string[] {
  const { body, method } = exchange;
  const headers = [...exchange.headers];
  const hasHost = headers.some((text, index) => index % 2 === 0 && text.toLowerCase() === 'host');
  if (!hasHost) headers.push('Host', exchange.pool.authority);
  headers.push(...framingHeaders(method, body));
  return headers;
}

function createRequest(exchange: Exchange): ClientRequest {
  const { pool, method, target } = exchange;
  const { host, port } = pool;
  const headers = framedHeaders(exchange);
  return httpRequest({ host, port, method, path: target, agent: pool.agent(), headers });
}

const bodyCauses: Readonly<Record<RelayEnd, Cause | undefined>> = {
  complete: undefined,
  // The events of the request report why the connection ended.
  'sink-closed': undefined,
  'source-failed': 'body-failed',
  'source-silent': 'body-silent',
  'too-large': 'body-too-large',
};

async function sendStream(
  clock: Clock,
  body: RequestBody & { readonly kind: 'stream' },
  request: ClientRequest,
  idleTimer: IdleTimer,
): Promise<Cause | undefined> {
  // While the body is still arriving, only a connection that blocks writes counts as idle.
  const end = await relayBody(clock, body.stream, request, {
    idleTimeoutMilliseconds: body.idleMilliseconds,
    limitBytes: body.limitBytes,
    onBlocked: (isBlocked) => (isBlocked ? idleTimer.reset() : idleTimer.pause()),
  });
  idleTimer.reset();
  return bodyCauses[end];
}

/** State of the connection of a request. No byte is sent before it is connected. */
interface ConnectionState {
  readonly markAssigned: () => void;
  readonly markSent: () => void;
  readonly isAssigned: () => boolean;
  readonly isSent: () => boolean;
}

function createConnectionState(): ConnectionState {
  let assigned = false;
  let sent = false;
  return {
    markAssigned: () => {
      assigned = true;
    },
    markSent: () => {
      sent = true;
    },
    isAssigned: () => assigned,
    isSent: () => sent,
  };
}

function watchConnection(
  exchange: Exchange,
  request: ClientRequest,
  connection: ConnectionState,
  onReady: () => void,
  cancel: () => void,
): void {
  const ready = (): void => {
    connection.markSent();
    onReady();
  };
  request.once('socket', (socket: Socket) => {
    connection.markAssigned();
    if (exchange.scope.cancelReason() !== undefined || exchange.mayStart?.() === false) cancel();
    else if (socket.connecting) {
      const stopLimit = limitConnectTime(socket, request);
      socket.once('connect', () => {
        stopLimit();
        ready();
      });
    } else ready();
  });
}

function limitConnectTime(socket: Socket, request: ClientRequest): () => void {
  const timer = setTimeout(
    () => request.destroy(new Error('connect timeout')),
    CONNECT_TIMEOUT_MILLISECONDS,
  );
  const stop = (): void => clearTimeout(timer);
  socket.once('close', stop);
  return stop;
}

/**
 * Sends one request and waits for the head of its response. After any failure the connection is destroyed, so that a
 * late response cannot be mistaken for the response to another request.
 *
 * @param clock - Source of time.
 * @param exchange - The request.
 * @returns The response, or why the exchange failed.
 * @internal
 */
export function exchangeOverHttp(clock: Clock, exchange: Exchange): Promise<ExchangeResult> {
  return new Promise((resolve) => {
    const { body, pool, scope } = exchange;
    const startedAt = clock.monotonicMilliseconds();
    const request = createRequest(exchange);
    const connection = createConnectionState();
    let settled = false;
    let stopListening = (): void => undefined;
    const idleTimer = createIdleTimer(clock, exchange.idleTimeoutMilliseconds, () => {
      // A request that is still waiting for a connection of the pool says nothing about the server.
      if (connection.isAssigned()) pool.countTimeout();
      fail(connection.isAssigned() ? 'silent' : 'cancelled');
    });
    const settle = (result: ExchangeResult): void => {
      settled = true;
      idleTimer.stop();
      resolve(result);
    };
    function fail(cause: Cause): void {
      if (settled) return;
      settle({ kind: 'failed', cause, sent: connection.isSent() });
      request.destroy();
    }
    // A streamed body is not read before the connection is ready, so that it can still be sent to another node.
    const onReady = (): void => {
      idleTimer.reset();
      if (body.kind === 'whole') return;
      idleTimer.pause();
      void sendStream(clock, body, request, idleTimer).then((cause) => {
        if (cause === undefined) return;
        fail(cause);
        request.destroy();
      });
    };
    const onLost = (error?: NodeJS.ErrnoException): void => {
      if (connection.isSent()) fail('reset');
      else fail(error?.code === 'ECONNREFUSED' ? 'refused' : 'unconnected');
    };
    request.on('error', onLost);
    request.on('response', (response: IncomingMessage) => {
      // The close event reports a truncated body. An error without a listener would crash the process.
      response.on('error', () => undefined);
      if (exchange.retiresConnection?.(response)) request.shouldKeepAlive = false;
      pool.countResponse();
      const latencyMilliseconds = clock.monotonicMilliseconds() - startedAt;
      settle({ kind: 'head', response, latencyMilliseconds });
    });
    request.once('close', () => {
      stopListening();
      onLost();
    });
    watchConnection(exchange, request, connection, onReady, () => fail('cancelled'));
    // With an empty buffer, Node.js would write the head in a more expensive vectored write of two buffers.
    if (body.kind === 'whole') request.end(body.bytes.length > 0 ? body.bytes : undefined);
    stopListening = scope.onCancel(() => {
      fail('cancelled');
      request.destroy();
    });
  });
}
