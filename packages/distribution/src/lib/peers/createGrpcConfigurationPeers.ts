import type { Result } from '@buckthornslip/common';
import { failure } from '@buckthornslip/common';
import type { PeerChannels } from '@buckthornslip/wire';
import { authenticateDefinition, ConfigurationService } from '@buckthornslip/wire';
import type { MethodDefinition } from '@grpc/grpc-js';

import type { ConfigurationPeers } from './ConfigurationPeers';
import type { PeerError } from './PeerError';

/** Timeout for small requests, in milliseconds. Well below the freshness limit, to leave time to ask another peer. */
const SHORT_TIMEOUT_MILLISECONDS = 500;

/**
 * Timeout for requests that carry parts, in milliseconds: allows a few megabytes over the slow link between regions.
 */
const LONG_TIMEOUT_MILLISECONDS = 5_000;

/**
 * Creates {@link ConfigurationPeers} that use gRPC.
 *
 * @param fleetSecret - Secret that authenticates each message.
 * @param channels - gRPC channels shared within this process.
 * @returns The client.
 * @public
 */
export function createGrpcConfigurationPeers(
  fleetSecret: string,
  channels: PeerChannels,
): ConfigurationPeers {
  const methods = authenticateDefinition(ConfigurationService, fleetSecret);

  const call = async <Request, Response>(
    address: string,
    method: MethodDefinition<Request, Response>,
    request: Request,
    timeoutMilliseconds: number,
  ): Promise<Result<Response, PeerError>> => {
    const result = await channels.call(address, method, request, timeoutMilliseconds);
    return result.ok ? result : failure({ kind: 'peer-failed', reason: result.error.kind });
  };

  return {
    fetchConfiguration: (address, request) =>
      call(address, methods.fetchConfiguration, request, SHORT_TIMEOUT_MILLISECONDS),
    fetchParts: (address, request) =>
      call(address, methods.fetchParts, request, LONG_TIMEOUT_MILLISECONDS),
    announceRevision: (address, request) =>
      call(address, methods.announceRevision, request, SHORT_TIMEOUT_MILLISECONDS),
    installRevision: (address, request) =>
      call(address, methods.installRevision, request, LONG_TIMEOUT_MILLISECONDS),
  };
}
