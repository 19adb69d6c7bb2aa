import type { AdmissionController } from '@buckthornslip/admission';
import type { ConfigurationView } from '@buckthornslip/distribution';
import type { Announcement, Membership } from '@buckthornslip/membership';

import type { CallPathDependencies } from '../http/CallPathDependencies';
import type { ConnectionPool } from '../http/ConnectionPool';
import { createConnectionPool } from '../http/createConnectionPool';
import type { UpstreamState } from './UpstreamState';

/** Default queue target for a service that is not in the manifest, in milliseconds. */
const QUEUE_TARGET_MILLISECONDS = 100;

/**
 * Dependencies of the upstream's state.
 *
 * @public
 */
export interface UpstreamStateDependencies extends CallPathDependencies {
  readonly configuration: ConfigurationView;
  readonly membership: Membership;
  readonly admission: AdmissionController;
}

function queueTarget(configuration: ConfigurationView, announcement: Announcement): number {
  const service = configuration.current()?.manifest.services.get(announcement.service);
  return service?.queueTargetMilliseconds ?? QUEUE_TARGET_MILLISECONDS;
}

/**
 * Creates the state of this node's local upstream.
 *
 * @param dependencies - Dependencies of the state.
 * @returns The state, empty until the first announcement.
 * @public
 */
export function createUpstreamState(dependencies: UpstreamStateDependencies): UpstreamState {
  const { admission, configuration, logger, membership } = dependencies;
  let announced: Announcement | undefined;
  let pool: ConnectionPool | undefined;
  let poolAddress: string | undefined;
  let failures = 0;

  const openPool = ({ address, connections }: Announcement): void => {
    if (poolAddress === address) {
      pool?.resize(connections);
      return;
    }
    pool?.close();
    poolAddress = address;
    pool = createConnectionPool(address, connections, () =>
      logger.log('connectionPoolRetired', { address }),
    );
  };
  const publish = (announcement: Announcement): void => {
    const { coldStartMilliseconds, slots, state } = announcement;
    const queueTargetMilliseconds = queueTarget(configuration, announcement);
    admission.setCapacity({ state, slots, coldStartMilliseconds, queueTargetMilliseconds });
    membership.announce(announcement);
  };
  return {
    announce: (announcement) => {
      openPool(announcement);
      announced = announcement;
      logger.log('upstreamAnnounced', { ...announcement });
      publish(announcement);
    },
    current: () => announced,
    pool: () => pool,
    markLost: () => {
      if (announced === undefined) return;
      const last = announced;
      announced = undefined;
      logger.log('upstreamLost', { address: last.address });
      publish({ ...last, state: 'starting' });
    },
    failures: () => failures,
    countFailure: (failuresAtStart) => {
      // One failure ends many calls at once; only the first of them records it.
      if (failuresAtStart !== failures) return false;
      failures += 1;
      return true;
    },
    close: () => pool?.close(),
  };
}
