import type { Readable } from 'node:stream';

/**
 * Body of a request: buffered, so that it can be sent again, or a stream that can be sent once.
 *
 * @internal
 */
export type RequestBody =
  | { readonly kind: 'whole'; readonly bytes: Buffer }
  | {
      readonly kind: 'stream';
      readonly stream: Readable;
      /** Declared length, in bytes; undefined for a chunked body. */
      readonly length: number | undefined;
      /** First part, read before the body turned out to be too long to buffer. */
      readonly head: Buffer;
    };
