import type { ConfigurationServer } from '@buckthornslip/wire';

import type { ConfigurationHandlers } from './ConfigurationHandlers';

/**
 * Adapts a follower's handlers to the gRPC service. Add the result to a server together with the definition
 * `authenticateDefinition(ConfigurationService, fleetSecret)`.
 *
 * @param handlers - Handlers of a follower.
 * @returns The implementation of the gRPC service.
 * @public
 */
export function createConfigurationServer(handlers: ConfigurationHandlers): ConfigurationServer {
  return {
    fetchConfiguration: (call, callback) =>
      callback(null, handlers.fetchConfiguration(call.request)),
    fetchParts: (call, callback) => callback(null, handlers.fetchParts(call.request)),
    announceRevision: (call, callback) => {
      handlers.announceRevision(call.request);
      callback(null, {});
    },
    installRevision: (call, callback) => callback(null, handlers.installRevision(call.request)),
  };
}
