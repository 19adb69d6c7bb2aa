import type { IncomingMessage } from 'node:http';

/**
 * Checks whether the end of a response can be distinguished from a connection failure. This is not the case for a body
 * that is delimited by the end of the connection, so such a response is rejected.
 *
 * @param response - The response.
 * @param method - Method of the request.
 * @returns Whether the length is declared, the transfer coding is chunked, or there is no body.
 * @internal
 */
export function isFramed(response: IncomingMessage, method: string): boolean {
  const { headers, statusCode } = response;
  return (
    method === 'HEAD' ||
    statusCode === 204 ||
    statusCode === 304 ||
    headers['content-length'] !== undefined ||
    headers['transfer-encoding']?.toLowerCase() === 'chunked'
  );
}
