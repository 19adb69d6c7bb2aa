import type { HostId, Incarnation, NodeIdentity } from '@buckthornslip/common';
import type { PeerChannels } from '@buckthornslip/wire';
import { authenticateDefinition, leasesProtocol } from '@buckthornslip/wire';

import type { LeasePeers } from './LeasePeers';

const toIdentity = (node: leasesProtocol.Node | undefined): NodeIdentity => ({
  host: (node?.host ?? '') as HostId,
  incarnation: (node?.incarnation ?? 0) as Incarnation,
});

/**
 * Creates the gRPC client of {@link LeasePeers}. Any error counts as no answer.
 *
 * @param options - Fleet secret, channels of this node, and the timeout of each request in milliseconds.
 * @returns The client.
 * @public
 */
export function createLeasePeersClient(options: {
  readonly fleetSecret: string;
  readonly channels: PeerChannels;
  readonly timeoutMilliseconds: number;
}): LeasePeers {
  const { channels, timeoutMilliseconds } = options;
  const methods = authenticateDefinition(leasesProtocol.LeasesService, options.fleetSecret);

  return {
    requestExtension: async ({ controlAddress }, request) => {
      const { promise } = methods;
      const result = await channels.call(controlAddress, promise, request, timeoutMilliseconds);
      if (!result.ok) return undefined;
      const { promised, responder } = result.value;
      return { promised, responder: toIdentity(responder) };
    },
    locate: async ({ controlAddress }, partition) => {
      const { locate } = methods;
      const result = await channels.call(
        controlAddress,
        locate,
        { partition },
        timeoutMilliseconds,
      );
      if (!result.ok || !result.value.known) return undefined;
      const { controlAddress: holderAddress, epoch, holder } = result.value;
      return { holder: toIdentity(holder), epoch, controlAddress: holderAddress };
    },
    refresh: async ({ controlAddress }, partition) => {
      const { refresh } = methods;
      await channels.call(controlAddress, refresh, { partition }, timeoutMilliseconds);
    },
  };
}
