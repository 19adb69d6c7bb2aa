import type { ListenAddress } from '@buckthornslip/config';
import type { ServiceDefinition, UntypedServiceImplementation } from '@grpc/grpc-js';

/**
 * gRPC server for other nodes and operators' tools.
 *
 * @internal
 */
export interface ControlServer {
  /** Adds a service; must be called before `listen`. */
  readonly add: (
    definition: ServiceDefinition,
    implementation: UntypedServiceImplementation,
  ) => void;
  readonly listen: (address: ListenAddress) => Promise<void>;
  readonly close: () => void;
}
