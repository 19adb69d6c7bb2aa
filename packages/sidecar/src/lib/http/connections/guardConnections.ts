import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { Clock } from '@buckthornslip/common';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { ListenerLimits } from './ConnectionLimits';
import type { ProgressWatch } from './createProgressWatch';
import { createProgressWatch } from './createProgressWatch';
import type { RequestGate } from './createRequestGate';
import { createRequestGate } from './createRequestGate';

/**
 * Why connections were held or closed.
 *
 * @public
 */
export type ConnectionLimitReason =
  'requests-ahead' | 'kept-bytes' | 'stalled' | 'too-many-connections';

/**
 * Dependencies and limits of a guard.
 *
 * @public
 */
export interface ConnectionGuardOptions {
  readonly clock: Pick<Clock, 'monotonicMilliseconds' | 'setTimer'>;
  readonly logger: EventLogger;
  readonly limits: ListenerLimits;
  /** Name of the listener in log lines. */
  readonly listener: string;
  /** Called for each connection that a limit has held or closed. */
  readonly count?: (reason: ConnectionLimitReason) => void;
}

interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

interface Connection {
  readonly socket: Socket;
  readonly gate: RequestGate;
  readonly exchanges: Set<Exchange>;
  readonly progress: ProgressWatch;
}

const CHECK_MILLISECONDS = 250;

/**
 * Time without progress after which a connection may be closed while too many bytes are kept, in milliseconds. The kernel takes
 * bytes for a slow reader in steps: 1,500 ms cut off a reader of 640 KB/s.
 */
const PRESSED_STALL_MILLISECONDS = 5_000;

/** The same while twice as many bytes are kept, in milliseconds. */
const OVERFULL_STALL_MILLISECONDS = 250;

/** Interval between log lines of one reason, in milliseconds. */
const LOG_MILLISECONDS = 10_000;

/**
 * Part of an unfinished body that is counted, in bytes: what is buffered, and what is sent to another node before that node has
 * read it. Buffered uploads have their own limit.
 */
const COUNTED_BODY_BYTES = 65_536 + 262_144;

/** Bytes of a long response that arrive from another node before they are read. */
const RESPONSE_CREDIT_BYTES = 262_144;

/** Bytes that the kernel has not taken; the property of the handle also changes while one long write is in progress. */
function queuedBytes(socket: Socket): number {
  const { _handle: handle } = socket as Socket & { readonly _handle?: { writeQueueSize?: number } };
  return handle?.writeQueueSize ?? 0;
}

function unsentBytes({ exchanges, socket }: Connection): number {
  let bytes = socket.writableLength;
  for (const { response } of exchanges) {
    if (!response.socket) bytes += response.writableLength;
    const isStreamed = response.headersSent && !response.writableEnded;
    if (isStreamed && response.writableNeedDrain) bytes += RESPONSE_CREDIT_BYTES;
  }
  return bytes;
}

function isReceiving({ exchanges }: Connection): boolean {
  for (const { request } of exchanges) if (!request.complete && !request.isPaused()) return true;
  return false;
}

function keptBytes(connection: Connection): number {
  const { gate } = connection;
  const bodyBytes = Math.min(gate.bodyBytes(), COUNTED_BODY_BYTES);
  return gate.waitingBytes() + unsentBytes(connection) + bodyBytes;
}

/**
 * Protects an HTTP server from its callers: it limits what is read, kept and left unread, and the connections.
 *
 * @param server - The server, not yet listening.
 * @param options - Dependencies and limits.
 * @public
 */
export function guardConnections(server: Server, options: ConnectionGuardOptions): void {
  const { clock, count, limits, listener, logger } = options;
  const connections = new Map<Socket, Connection>();
  const suppressed = new Map<ConnectionLimitReason, { since: number; count: number }>();
  const held = new WeakSet<Connection>();
  let requests = 0;
  let isChecking = false;
  let isPressed = false;

  const record = (reason: ConnectionLimitReason): void => {
    count?.(reason);
    const now = clock.monotonicMilliseconds();
    const known = suppressed.get(reason);
    if (known && now - known.since < LOG_MILLISECONDS) {
      known.count += 1;
      return;
    }
    suppressed.set(reason, { since: now, count: 0 });
    logger.log('connectionLimited', { listener, reason, further: known?.count ?? 0 });
  };

  const close = ({ socket }: Connection, reason: ConnectionLimitReason): void => {
    record(reason);
    connections.delete(socket);
    socket.destroy();
  };

  /** @returns Whether a connection may pass on another request, or one that has begun beside the others. */
  const mayPass = (
    exchanges: ReadonlySet<Exchange>,
    begun: IncomingMessage | undefined,
  ): boolean => {
    let others = 0;
    for (const { request } of exchanges) if (request !== begun) others += 1;
    return (
      others === 0 || (!isPressed && others < limits.requestsAhead && requests < limits.requests)
    );
  };

  const stalledFor = ({ progress }: Connection): number => progress.stalledMilliseconds();

  const observe = (connection: Connection): void => {
    connection.progress.observe();
    const isHeld = connection.gate.isHeld();
    if (isHeld && !held.has(connection)) record('requests-ahead');
    if (isHeld) held.add(connection);
    else held.delete(connection);
  };

  /** A connection whose caller neither sends the rest of its request nor reads its response. */
  const isStalled = (connection: Connection): boolean =>
    isReceiving(connection) || queuedBytes(connection.socket) > 0;

  const closeStalled = (): void => {
    for (const connection of connections.values()) {
      if (isStalled(connection) && stalledFor(connection) >= limits.stallMilliseconds) {
        close(connection, 'stalled');
      }
    }
  };

  const relieve = (): void => {
    const kept = [...connections.values()].map((connection) => ({
      connection,
      bytes: keptBytes(connection),
    }));
    let total = kept.reduce((sum, { bytes }) => sum + bytes, 0);
    isPressed = total > limits.keptBytes;
    if (!isPressed) return;
    const isOverfull = total > 2 * limits.keptBytes;
    const stall = isOverfull ? OVERFULL_STALL_MILLISECONDS : PRESSED_STALL_MILLISECONDS;
    const isClosable = (connection: Connection): boolean =>
      stalledFor(connection) >= stall && (isOverfull || isStalled(connection));
    kept.sort(
      (left, right) =>
        Number(isStalled(right.connection)) - Number(isStalled(left.connection)) ||
        stalledFor(right.connection) - stalledFor(left.connection),
    );
    for (const { bytes, connection } of kept) {
      if (total <= limits.keptBytes) return;
      if (bytes > 0 && isClosable(connection)) {
        total -= bytes;
        close(connection, 'kept-bytes');
      }
    }
  };

  const check = (): void => {
    connections.forEach(observe);
    closeStalled();
    relieve();
    isChecking = connections.size > 0;
    if (isChecking) clock.setTimer(CHECK_MILLISECONDS, check);
  };

  /** Closes the connection without a request that has been idle for longest, so that a new one finds room. */
  const makeRoom = (): void => {
    let idlest: Connection | undefined;
    for (const connection of connections.values()) {
      const isIdler = !idlest || stalledFor(connection) > stalledFor(idlest);
      if (connection.exchanges.size === 0 && isIdler) idlest = connection;
    }
    if (idlest) close(idlest, 'too-many-connections');
  };

  const forget = (connection: Connection): void => {
    connections.delete(connection.socket);
    // Node.js reports the end of a connection only to the response that is being written, not to those behind it.
    for (const { response } of connection.exchanges) {
      if (!response.closed) {
        response.destroy();
        response.emit('close');
      }
    }
  };

  server.on('connection', (socket: Socket) => {
    if (connections.size >= limits.connections) makeRoom();
    const exchanges = new Set<Exchange>();
    const gate = createRequestGate(socket, (begun) => mayPass(exchanges, begun));
    const progress = createProgressWatch(
      clock,
      () => gate.passedBytes() + socket.bytesWritten - queuedBytes(socket),
    );
    const connection: Connection = { socket, gate, exchanges, progress };
    connections.set(socket, connection);
    socket.once('close', () => forget(connection));
    // Only connections with requests are left, or those that are closing.
    if (connections.size > limits.connections) close(connection, 'too-many-connections');
    if (isChecking) return;
    isChecking = true;
    clock.setTimer(CHECK_MILLISECONDS, check);
  });

  server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => {
    const connection = connections.get(request.socket);
    if (!connection) return;
    const exchange = { request, response };
    connection.gate.begin(request);
    connection.exchanges.add(exchange);
    connection.progress.restart();
    requests += 1;
    response.once('close', () => {
      if (!connection.exchanges.delete(exchange)) return;
      requests -= 1;
      connection.gate.release();
    });
  });
}
