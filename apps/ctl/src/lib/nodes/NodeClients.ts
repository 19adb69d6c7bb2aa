import type { Result } from '@buckthornslip/common';
import type { PeerError } from '@buckthornslip/distribution';
import type {
  InstallRevisionRequest,
  InstallRevisionResponse,
  ReadStatusResponse,
} from '@buckthornslip/wire';

/**
 * Client of the nodes' gRPC services. Each address is the control address of a node.
 *
 * @internal
 */
export interface NodeClients {
  readonly readStatus: (address: string) => Promise<Result<ReadStatusResponse, PeerError>>;
  readonly installRevision: (
    address: string,
    request: InstallRevisionRequest,
  ) => Promise<Result<InstallRevisionResponse, PeerError>>;
  readonly close: () => void;
}
