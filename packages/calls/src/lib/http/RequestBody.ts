import type { Readable } from 'node:stream';

/**
 * Body of a request, either buffered in memory or a stream that is still arriving.
 *
 * @public
 */
export type RequestBody =
  | { readonly kind: 'whole'; readonly bytes: Buffer }
  | {
      readonly kind: 'stream';
      readonly stream: Readable;
      /** Declared length, in bytes; undefined with chunked transfer coding. */
      readonly length: number | undefined;
      /** Maximum length, in bytes. */
      readonly limitBytes: number;
      /** Idle timeout, in milliseconds. */
      readonly idleMilliseconds: number;
    };
