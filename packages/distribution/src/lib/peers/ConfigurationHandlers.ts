import type {
  AnnounceRevisionRequest,
  FetchConfigurationRequest,
  FetchConfigurationResponse,
  FetchPartsRequest,
  FetchPartsResponse,
  InstallRevisionRequest,
  InstallRevisionResponse,
} from '@buckthornslip/wire';

/**
 * Handles the requests that other nodes send through {@link ConfigurationPeers}.
 *
 * @public
 */
export interface ConfigurationHandlers {
  readonly fetchConfiguration: (request: FetchConfigurationRequest) => FetchConfigurationResponse;
  readonly fetchParts: (request: FetchPartsRequest) => FetchPartsResponse;
  readonly announceRevision: (request: AnnounceRevisionRequest) => void;
  readonly installRevision: (request: InstallRevisionRequest) => InstallRevisionResponse;
}
