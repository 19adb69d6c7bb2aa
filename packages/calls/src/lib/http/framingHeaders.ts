const BODILESS_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'DELETE',
  'OPTIONS',
  'TRACE',
]);

/** The properties of a body that determine its framing. */
type FramedBody =
  | { readonly kind: 'whole'; readonly bytes: Buffer }
  | {
      readonly kind: 'stream';
      /** Declared length, in bytes; undefined with chunked transfer coding. */
      readonly length: number | undefined;
    };

/**
 * @param method - Method of the request.
 * @param body - Its body.
 * @returns Name and value of the framing header, if one is needed.
 * @internal
 */
export function framingHeaders(method: string, body: FramedBody): readonly string[] {
  if (body.kind === 'stream') {
    if (body.length === undefined) return ['Transfer-Encoding', 'chunked'];
    return ['Content-Length', String(body.length)];
  }
  if (body.bytes.length === 0 && BODILESS_METHODS.has(method)) return [];
  return ['Content-Length', String(body.bytes.length)];
}
