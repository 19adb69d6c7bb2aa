import { createHttpListener } from '../http/createHttpListener';
import { defaultHttpLimits } from '../http/defaultHttpLimits';
import type { HttpListener } from '../http/HttpListener';
import { withAddedHeaders } from '../http/withAddedHeaders';
import { handleAnnouncement } from './handleAnnouncement';
import { handleOutgoingCall } from './handleOutgoingCall';
import type { OutgoingDependencies } from './OutgoingDependencies';

/**
 * Creates the listener for the announcements and outgoing calls of the node's local upstream. It should listen on a
 * loopback address. On a graceful stop it is drained last, since calls in progress at the upstream may still make
 * nested calls.
 *
 * @param dependencies - Dependencies of the listener.
 * @returns The listener.
 * @public
 */
export function createOutgoingServer(dependencies: OutgoingDependencies): HttpListener {
  const limits = withAddedHeaders(dependencies.limits ?? defaultHttpLimits);
  return createHttpListener(dependencies, limits, (request, response) =>
    request.method === 'POST' && request.url === '/announce'
      ? handleAnnouncement(dependencies, request, response)
      : handleOutgoingCall(dependencies, request, response),
  );
}
