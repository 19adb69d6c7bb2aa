import type { Result } from '@buckthornslip/common';
import type {
  AnnounceRevisionRequest,
  FetchConfigurationRequest,
  FetchConfigurationResponse,
  FetchPartsRequest,
  FetchPartsResponse,
  InstallRevisionRequest,
  InstallRevisionResponse,
} from '@buckthornslip/wire';

import type { PeerError } from './PeerError';

type PeerResponse<Value> = Promise<Result<Value, PeerError>>;

/**
 * Client for the configuration service of other nodes. Each address is a control address.
 *
 * @public
 */
export interface ConfigurationPeers {
  readonly fetchConfiguration: (
    address: string,
    request: FetchConfigurationRequest,
  ) => PeerResponse<FetchConfigurationResponse>;
  readonly fetchParts: (
    address: string,
    request: FetchPartsRequest,
  ) => PeerResponse<FetchPartsResponse>;
  readonly announceRevision: (
    address: string,
    request: AnnounceRevisionRequest,
  ) => PeerResponse<unknown>;
  readonly installRevision: (
    address: string,
    request: InstallRevisionRequest,
  ) => PeerResponse<InstallRevisionResponse>;
}
