/** Smallest status of a failure of the answering side (RFC 9110, section 15.6). */
const SERVER_ERROR = 500;

/**
 * @param status - Status of an answer.
 * @returns Whether it says that the answering side failed.
 * @internal
 */
export function isServerError(status: number): boolean {
  return status >= SERVER_ERROR;
}
