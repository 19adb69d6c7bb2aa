import { createHash } from 'node:crypto';
import type { Agent, IncomingMessage } from 'node:http';
import { request as httpRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import type { CallFixture } from './startCallFixture';

/** Result of a call as its caller sees it. */
export type CallResult =
  | {
      readonly kind: 'response';
      readonly status: number;
      readonly outcome: string | undefined;
      readonly reason: string | undefined;
      /** Whether the body matches the digest that the upstream declared; false for refusals, which declare none. */
      readonly isComplete: boolean;
    }
  | { readonly kind: 'cut' };

/** A call whose result and steps are observed. */
export interface ObservedCall {
  readonly marker: string;
  readonly idempotencyKey?: string;
  readonly responseBytes: number;
  /** Runs when the entry node has received the head and half of the body; the other half is sent afterwards. */
  readonly onAccepted?: () => void;
  /** Whether the second half of the body is never sent. */
  readonly withholdBody?: boolean;
  readonly agent?: Agent;
  /** Time for which the caller stops reading after the response head and after the first chunk, in milliseconds. */
  readonly readPauseMilliseconds?: number;
}

const HALF_BODY = Buffer.alloc(10_000, 'x');

/** Waits for two turns of the event loop, so that the nodes have read what was sent. */
const flushEvents = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(() => setImmediate(resolve));
  });

async function readResponse(
  fixture: CallFixture,
  response: IncomingMessage,
  readPauseMilliseconds: number,
): Promise<CallResult> {
  fixture.reportStep('response head');
  if (readPauseMilliseconds > 0) await sleep(readPauseMilliseconds);
  const hash = createHash('sha256');
  let isFirst = true;
  for await (const chunk of response as AsyncIterable<Buffer>) {
    hash.update(chunk);
    // Backpressure from the caller still holds back the rest of a large body.
    if (isFirst) {
      fixture.reportStep('response body');
      if (readPauseMilliseconds > 0) await sleep(readPauseMilliseconds);
    }
    isFirst = false;
  }
  const declared = response.headers['x-body-digest'];
  const header = (name: string) => response.headers[name] as string | undefined;
  return {
    kind: 'response',
    status: response.statusCode ?? 0,
    outcome: header('buckthornslip-outcome'),
    reason: header('buckthornslip-reason'),
    isComplete: declared === hash.digest('hex'),
  };
}

/**
 * Sends a call to the entry node and reports the steps that are visible to the caller.
 *
 * @param fixture - Nodes and upstreams under test.
 * @param call - Call to send.
 * @returns Result as the caller sees it.
 */
export async function sendObserved(fixture: CallFixture, call: ObservedCall): Promise<CallResult> {
  const { agent, idempotencyKey, marker, onAccepted, responseBytes, withholdBody = false } = call;
  const [host, port] = fixture.cluster.nodes[0]?.callerAddress().split(':') ?? [];
  const request = httpRequest({
    host,
    port,
    agent: agent ?? false,
    method: 'POST',
    path: `/statements?bytes=${responseBytes}`,
    headers: {
      authorization: `Bearer ${fixture.cluster.key}`,
      'x-marker': marker,
      'content-length': 2 * HALF_BODY.length,
      ...(idempotencyKey === undefined ? {} : { 'idempotency-key': idempotencyKey }),
    },
  });
  const result = new Promise<CallResult>((resolve) => {
    request.once('error', () => resolve({ kind: 'cut' }));
    request.once('response', (response) => {
      readResponse(fixture, response, call.readPauseMilliseconds ?? 0).then(resolve, () =>
        resolve({ kind: 'cut' }),
      );
    });
  });
  request.write(HALF_BODY);
  if (onAccepted !== undefined) {
    // The entry node spends a token when it has the head, before it has the whole body.
    await new Promise<void>((resolve) => {
      fixture.onceAtStep('limit', resolve);
    });
    await flushEvents();
    onAccepted();
  }
  if (!withholdBody) request.end(HALF_BODY);
  return result.finally(() => request.destroy());
}
