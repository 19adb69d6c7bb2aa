import type { HostId, Incarnation, NodeIdentity, PartitionId } from '@buckthornslip/common';
import { authenticateDefinition, leasesProtocol } from '@buckthornslip/wire';

import type { LeaseResponder } from './LeaseResponder';

const toIdentity = (node: leasesProtocol.Node | undefined): NodeIdentity => ({
  host: (node?.host ?? '') as HostId,
  incarnation: (node?.incarnation ?? 0) as Incarnation,
});

function locateResponse(
  responder: LeaseResponder,
  partition: PartitionId,
): leasesProtocol.LocateResponse {
  const location = responder.answerLocate(partition);
  const { holder, epoch = 0, controlAddress = '' } = location ?? {};
  return { known: location !== undefined, holder, epoch, controlAddress };
}

/**
 * Creates the gRPC service that answers lease requests of other nodes.
 *
 * @param responder - The lease manager.
 * @param fleetSecret - Secret that authenticates the nodes of the fleet.
 * @returns Arguments for `Server.addService` of grpc-js.
 * @public
 */
export function createLeaseService(
  responder: LeaseResponder,
  fleetSecret: string,
): {
  readonly definition: typeof leasesProtocol.LeasesService;
  readonly handlers: leasesProtocol.LeasesServer;
} {
  const definition = authenticateDefinition(leasesProtocol.LeasesService, fleetSecret);
  const handlers: leasesProtocol.LeasesServer = {
    promise: ({ request }, callback) => {
      const answer = responder.answerExtension({
        partition: request.partition as PartitionId,
        epoch: request.epoch,
        holder: toIdentity(request.holder),
        candidate: toIdentity(request.candidate),
        termMilliseconds: request.termMilliseconds,
      });
      callback(null, answer);
    },
    locate: ({ request }, callback) => {
      callback(null, locateResponse(responder, request.partition as PartitionId));
    },
    refresh: ({ request }, callback) => {
      responder.refresh(request.partition as PartitionId);
      callback(null, {});
    },
  };
  return { definition, handlers };
}
