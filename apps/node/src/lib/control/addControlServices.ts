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

import type { NodeComponents } from '../process/NodeComponents';
import type { ControlServer } from './ControlServer';
import { createStatusImplementation } from './createStatusImplementation';

/**
 * Adds all gRPC services of a node to its control server.
 *
 * @param server - Control server, not listening.
 * @param components - Components that implement the services.
 * @param fleetSecret - Secret shared by the nodes.
 * @internal
 */
export function addControlServices(
  server: ControlServer,
  components: NodeComponents,
  fleetSecret: string,
): void {
  const { budgets, callPath, configuration, participation, registries, membership } = components;
  const { handler } = membership;
  const membershipService = createMembershipImplementation({ fleetSecret, handler });
  server.add(membershipService.definition, membershipService.implementation);
  const leaseService = createLeaseService(components.leases, fleetSecret);
  server.add(leaseService.definition, { ...leaseService.handlers });
  const limitsService = createLimitsHandlers(components.tokenServer, fleetSecret);
  server.add(limitsService.definition, { ...limitsService.handlers });
  server.add(authenticateDefinition(ConfigurationService, fleetSecret), {
    ...createConfigurationServer(configuration.handlers),
  });
  const callControl = createCallControlImplementation({
    budgets,
    suspects: callPath.suspects,
    findRegistry: registries.find,
    openRegistry: registries.open,
  });
  server.add(authenticateDefinition(callMessages.CallControlService, fleetSecret), {
    ...callControl,
  });
  server.add(authenticateDefinition(StatusService, fleetSecret), {
    ...createStatusImplementation(membership, configuration, participation.heldPartitions),
  });
}
