import { createHash } from 'node:crypto';
import type { Agent, IncomingMessage } from 'node:http';
import { request as httpRequest } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import type { CallWorld } from './callWorld';

/** What a caller knows at the end of its call. */
export type CallResult =
  | {
      readonly kind: 'response';
      readonly status: number;
      readonly outcome: string | undefined;
      readonly reason: string | undefined;
      /** Whether the body has the digest that the upstream declared; refusals have none. */
      readonly isWhole: boolean;
    }
  | { readonly kind: 'cut' };

/** A call of the matrix. */
export interface ObservedCall {
  readonly marker: string;
  readonly idempotencyKey?: string;
  readonly responseBytes: number;
  /** Runs when the head and half of the body have arrived; the rest is sent afterwards. */
  readonly onAccepted?: () => void;
  /** Never sends the rest of the body. */
  readonly withholdBody?: boolean;
  readonly agent?: Agent;
  /** Pause of reading at the response's head and at its first bytes, in milliseconds. */
  readonly holdMilliseconds?: number;
}

const HALF_BODY = Buffer.alloc(10_000, 'x');

/** Lets events that are already due run, so that the nodes have read what was sent. */
const settle = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(() => setImmediate(resolve));
  });

async function readObserved(
  world: CallWorld,
  response: IncomingMessage,
  holdMilliseconds: number,
): Promise<CallResult> {
  world.reached('response head');
  if (holdMilliseconds > 0) await sleep(holdMilliseconds);
  const hash = createHash('sha256');
  let isFirst = true;
  for await (const chunk of response as AsyncIterable<Buffer>) {
    hash.update(chunk);
    // The rest of a large body is still held back by the caller's reading.
    if (isFirst) {
      world.reached('response body');
      if (holdMilliseconds > 0) await sleep(holdMilliseconds);
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
    isWhole: declared === hash.digest('hex'),
  };
}

/**
 * Sends a call to the entry node and reports the steps that the caller sees.
 *
 * @param world - The running system.
 * @param call - What to send.
 * @returns What the caller knows at the end.
 */
export async function sendObserved(world: CallWorld, call: ObservedCall): Promise<CallResult> {
  const { agent, idempotencyKey, marker, onAccepted, responseBytes, withholdBody = false } = call;
  const [host, port] = world.system.nodes[0]?.callerAddress().split(':') ?? [];
  const request = httpRequest({
    host,
    port,
    agent: agent ?? false,
    method: 'POST',
    path: `/statements?bytes=${responseBytes}`,
    headers: {
      authorization: `Bearer ${world.system.key}`,
      'x-marker': marker,
      'content-length': 2 * HALF_BODY.length,
      ...(idempotencyKey === undefined ? {} : { 'idempotency-key': idempotencyKey }),
    },
  });
  const result = new Promise<CallResult>((resolve) => {
    request.once('error', () => resolve({ kind: 'cut' }));
    request.once('response', (response) => {
      readObserved(world, response, call.holdMilliseconds ?? 0).then(resolve, () =>
        resolve({ kind: 'cut' }),
      );
    });
  });
  request.write(HALF_BODY);
  if (onAccepted !== undefined) {
    // The token is spent when the head has arrived and the body has not.
    await new Promise<void>((resolve) => {
      world.arm('limit', resolve);
    });
    await settle();
    onAccepted();
  }
  if (!withholdBody) request.end(HALF_BODY);
  return result.finally(() => request.destroy());
}
