import type { IncomingMessage, ServerResponse } from 'node:http';

import { BUFFER_LIMIT_BYTES } from '../http/BUFFER_LIMIT_BYTES';
import { createCallScope } from '../http/createCallScope';
import { defaultHttpLimits } from '../http/defaultHttpLimits';
import { readBody } from '../http/readBody';
import { refuse } from '../http/refuse';
import { sendRefusal } from '../http/sendRefusal';
import type { OutgoingDependencies } from './OutgoingDependencies';
import { parseAnnouncement } from './parseAnnouncement';

/**
 * Handles an announcement of the upstream.
 *
 * @param dependencies - Dependencies of the listener.
 * @param request - The request.
 * @param response - Response to write the answer to.
 * @internal
 */
export async function handleAnnouncement(
  dependencies: OutgoingDependencies,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const { bodyIdleMilliseconds } = dependencies.limits ?? defaultHttpLimits;
  const scope = createCallScope(dependencies.clock, bodyIdleMilliseconds);
  const limits = { limitBytes: BUFFER_LIMIT_BYTES, idleMilliseconds: bodyIdleMilliseconds };
  const body = await readBody(dependencies.clock, request, scope, limits);
  scope.end();
  if (body.kind !== 'whole') {
    sendRefusal(dependencies, response, body.kind === 'refusal' ? body : refuse('body-too-large'));
    return;
  }
  const parsed = parseAnnouncement(body.bytes.toString('utf8'));
  if (!parsed.ok) {
    const { error } = parsed;
    const errors =
      error.kind === 'invalid-json' ? [{ path: '', message: 'not JSON' }] : error.errors;
    sendRefusal(dependencies, response, { ...refuse('request-invalid'), errors });
    return;
  }
  dependencies.upstream.announce(parsed.value);
  response.writeHead(204).end();
}
