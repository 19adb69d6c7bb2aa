/**
 * @param error - Error that describes the failure.
 * @returns A failed result.
 * @public
 */
export function failure<Failure>(error: Failure): { readonly ok: false; readonly error: Failure } {
  return { ok: false, error };
}
