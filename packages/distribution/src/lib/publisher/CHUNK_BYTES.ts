/**
 * Maximum size of a store value that holds a chunk of a part, in bytes. The store accepts values up to 1 MB; smaller
 * values keep its response times short for other clients.
 *
 * @internal
 */
export const CHUNK_BYTES = 256 * 1024;
