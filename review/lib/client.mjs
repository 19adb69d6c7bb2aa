import { request as httpRequest } from 'node:http';

import { ports } from './settings.mjs';

/**
 * Sends one attempt of a client to the node of its machine.
 *
 * @returns The status, 0 if the connection ended without an answer, and whether the body was whole by its framing.
 */
export function sendRequest({ address, agent, host, path, method, id, key, deadline, body }) {
  return new Promise((resolve) => {
    const headers = {
      Host: host,
      'X-Request-Id': id,
      'X-Deadline-Ms': String(deadline),
      Authorization: `Bearer ${key}`,
    };
    if (body !== undefined) headers['Content-Length'] = Buffer.byteLength(body);
    let status = 0;
    let size = 0;
    let isSigned = false;
    let retryAfter;
    const finish = (isWhole) => resolve({ status, size, isWhole, isSigned, retryAfter });
    const options = { host: address, port: ports.outbound, path, method, agent, headers };
    const call = httpRequest(options, (response) => {
      status = response.statusCode;
      isSigned = response.headers['x-response-signature'] !== undefined;
      retryAfter = response.headers['retry-after'];
      response.on('data', (chunk) => {
        size += chunk.length;
      });
      response.on('end', () => finish(response.complete));
      response.on('error', () => finish(false));
    });
    const timer = setTimeout(() => call.destroy(), deadline);
    call.on('error', () => finish(false));
    call.on('close', () => clearTimeout(timer));
    call.end(body);
  });
}
