import type { ConfigurationFollower } from '@buckthornslip/distribution';
import type { MembershipNode } from '@buckthornslip/membership';
import type { StatusServer } from '@buckthornslip/wire';
import { createUnaryHandler } from '@buckthornslip/wire';

/** Freshness reported until the node first confirms that it has the latest revision. */
const NEVER_CONFIRMED = -1;

/**
 * Creates the gRPC service that reports the status of this node to operators.
 *
 * @param membership - Membership of this node.
 * @param configuration - Configuration of this node.
 * @param heldPartitions - Lists the partitions whose lease this node holds.
 * @returns The implementation for a gRPC server.
 * @internal
 */
export function createStatusImplementation(
  membership: MembershipNode,
  configuration: ConfigurationFollower,
  heldPartitions: () => readonly string[],
): StatusServer {
  return {
    readStatus: createUnaryHandler(() => {
      const self = membership.self();
      return {
        host: self.host,
        incarnation: self.incarnation,
        region: self.region,
        zone: self.zone,
        service: self.service ?? '',
        state: self.state,
        revision: configuration.current()?.revision ?? 0,
        freshnessMilliseconds: Math.round(
          configuration.confirmedAgeMilliseconds() ?? NEVER_CONFIRMED,
        ),
        partitions: [...heldPartitions()],
      };
    }),
  };
}
