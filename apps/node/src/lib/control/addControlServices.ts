import { createCallControlImplementation } from '@buckthornslip/calls';
import { createConfigurationServer } from '@buckthornslip/distribution';
import { createLeaseService } from '@buckthornslip/leases';
import { createLimitsHandlers } from '@buckthornslip/limits';
import { createMembershipImplementation } from '@buckthornslip/membership';
import {
  authenticateDefinition,
  callMessages,
  ConfigurationService,
  StatusService,
} from '@buckthornslip/wire';

import type { NodeParts } from '../process/NodeParts';
import type { ControlServer } from './ControlServer';
import { createStatusImplementation } from './createStatusImplementation';

/**
 * Adds the gRPC services of a node.
 *
 * @param server - The gRPC listener, not yet listening.
 * @param parts - Parts of the node that answer.
 * @param fleetSecret - Secret shared by the nodes.
 * @internal
 */
export function addControlServices(
  server: ControlServer,
  parts: NodeParts,
  fleetSecret: string,
): void {
  const { budgets, callPath, configuration, duties, homes, membership } = parts;
  const { handler } = membership;
  const membershipService = createMembershipImplementation({ fleetSecret, handler });
  server.add(membershipService.definition, membershipService.implementation);
  const leaseService = createLeaseService(parts.leases, fleetSecret);
  server.add(leaseService.definition, { ...leaseService.handlers });
  const limitsService = createLimitsHandlers(parts.shareHolder, fleetSecret);
  server.add(limitsService.definition, { ...limitsService.handlers });
  server.add(authenticateDefinition(ConfigurationService, fleetSecret), {
    ...createConfigurationServer(configuration.handlers),
  });
  const callControl = createCallControlImplementation({
    budgets,
    suspects: callPath.suspects,
    findRegistry: homes.find,
    openRegistry: homes.open,
  });
  server.add(authenticateDefinition(callMessages.CallControlService, fleetSecret), {
    ...callControl,
  });
  server.add(authenticateDefinition(StatusService, fleetSecret), {
    ...createStatusImplementation(membership, configuration, duties.heldPartitions),
  });
}
