/**
 * Result of an operation whose failures the caller must handle.
 *
 * @public
 */
export type Result<Value, Failure> =
  { readonly ok: true; readonly value: Value } | { readonly ok: false; readonly error: Failure };
