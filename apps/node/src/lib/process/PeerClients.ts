import type { CallControlClient } from '@buckthornslip/calls';
import type { ConfigurationPeers } from '@buckthornslip/distribution';
import type { LeasePeers } from '@buckthornslip/leases';
import type { LimitPeers } from '@buckthornslip/limits';
import type { MembershipPeers } from '@buckthornslip/membership';

/**
 * Clients of the other nodes' gRPC services.
 *
 * @internal
 */
export interface PeerClients {
  readonly calls: CallControlClient;
  readonly configuration: ConfigurationPeers;
  readonly leases: LeasePeers;
  readonly limits: LimitPeers;
  readonly membership: MembershipPeers;
  readonly close: () => void;
}
