import type { Readable } from 'node:stream';

/**
 * @param stream - A stream of bytes.
 * @returns All its bytes; rejects if the stream ends prematurely.
 * @internal
 */
export async function readAll(stream: Readable): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of stream as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks);
}
