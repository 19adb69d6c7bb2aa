/**
 * @param value - Value of the operation.
 * @returns A successful result.
 * @public
 */
export function success<Value>(value: Value): { readonly ok: true; readonly value: Value } {
  return { ok: true, value };
}
