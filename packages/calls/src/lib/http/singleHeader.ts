import type { IncomingMessage } from 'node:http';

/**
 * @param message - Request or response.
 * @param name - Header name in lower case.
 * @returns Value of the header, the first one if it is repeated; undefined if it is absent.
 * @internal
 */
export function singleHeader(message: IncomingMessage, name: string): string | undefined {
  const value = message.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
