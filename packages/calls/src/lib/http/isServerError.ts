/** Lowest status of a server error (RFC 9110, section 15.6). */
const SERVER_ERROR = 500;

/**
 * @param status - Status of a response.
 * @returns Whether it is a server error.
 * @internal
 */
export function isServerError(status: number): boolean {
  return status >= SERVER_ERROR;
}
