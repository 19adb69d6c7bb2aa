import type { IncomingHttpHeaders } from 'node:http';
import { PassThrough } from 'node:stream';
import type { Readable } from 'node:stream';

import { createByteCollector } from '@buckthornslip/common';

import type { AttemptResult } from '../attempts/AttemptResult';
import { BUFFER_LIMIT_BYTES } from '../http/BUFFER_LIMIT_BYTES';
import type { CallResponse } from '../http/CallAnswer';

function headersByName(raw: readonly string[]): IncomingHttpHeaders {
  const headers: IncomingHttpHeaders = {};
  for (let index = 0; index < raw.length; index += 2) {
    const name = (raw[index] as string).toLowerCase();
    const value = raw[index + 1] as string;
    const earlier = headers[name];
    if (earlier === undefined) headers[name] = value;
    else headers[name] = Array.isArray(earlier) ? [...earlier, value] : [earlier, value];
  }
  return headers;
}

async function writeTo(sink: PassThrough, chunk: Buffer): Promise<void> {
  if (sink.destroyed || sink.write(chunk)) return;
  await new Promise<void>((resolve) => {
    const finish = (): void => {
      sink.off('drain', finish).off('close', finish);
      resolve();
    };
    sink.on('drain', finish).on('close', finish);
  });
}

async function pump(
  answer: CallResponse,
  body: Readable,
  sink: PassThrough,
): Promise<AttemptResult> {
  const kept = createByteCollector();
  let size = 0;
  try {
    for await (const chunk of body as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size <= BUFFER_LIMIT_BYTES) kept.add(chunk);
      await writeTo(sink, chunk);
    }
  } catch {
    sink.destroy(new Error('upstream response was truncated'));
    return { kind: 'ended', outcome: 'may-have-run' };
  }
  sink.end();
  if (size > BUFFER_LIMIT_BYTES) return { kind: 'ended', outcome: 'ran' };
  const headers = headersByName(answer.headers);
  return {
    kind: 'answered',
    response: { status: answer.status, headers, body: kept.take() },
  };
}

/**
 * Forwards a response and records it for repeats of its attempt. The response is read to its end even if the first
 * reader disconnects, since a repeat may ask for it.
 *
 * @param answer - The response.
 * @param onResult - Called once with the result of the attempt.
 * @returns The response to forward.
 * @internal
 */
export function recordAttempt(
  answer: CallResponse,
  onResult: (result: AttemptResult) => void,
): CallResponse {
  const { body } = answer;
  if (Buffer.isBuffer(body)) return answer;
  const sink = new PassThrough();
  sink.on('error', () => undefined);
  void pump(answer, body, sink).then(onResult);
  return { ...answer, body: sink };
}
