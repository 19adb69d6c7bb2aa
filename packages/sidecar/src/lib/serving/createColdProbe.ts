import type { AdmissionController, AdmissionRequest } from '@buckthornslip/admission';
import type { Clock } from '@buckthornslip/common';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { ColdLimit } from './createColdLimit';
import type { UpstreamInstance } from './UpstreamInstance';
import type { UpstreamRegistry } from './UpstreamRegistry';

/** Time between two checks whether a probe is needed, in milliseconds. Probes are priced and take a slot. */
const INTERVAL_MILLISECONDS = 500;

/** Class of its own, so that the estimated time of calls does not matter. */
const PROBE_REQUEST: AdmissionRequest = {
  account: undefined,
  priority: 'critical',
  depth: 0,
  remainingMilliseconds: 1_000,
  isolated: false,
  requestClass: 'health',
};

/** Dependencies of the cold probe. */
interface ColdProbeOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly admission: Pick<AdmissionController, 'admit'>;
  readonly upstream: Pick<UpstreamRegistry, 'current'>;
  readonly limit: Pick<ColdLimit, 'needsHealth' | 'recordHealth'>;
  /** @returns Whether a request may be sent to the upstream at all. */
  readonly mayAsk: () => boolean;
  /** @returns Remaining cold time of the upstream, in milliseconds; undefined if it is not known. */
  readonly request: (instance: UpstreamInstance) => Promise<number | undefined>;
}

/** Asks the local upstream for its cold time while its announcements do not tell enough. */
export interface ColdProbe {
  readonly start: () => void;
  readonly close: () => void;
}

/**
 * Creates the cold probe. A probe waits for a slot and a start like an urgent call. One probe runs at a time.
 *
 * @param options - Dependencies.
 * @returns The probe, not yet started.
 * @internal
 */
export function createColdProbe(options: ColdProbeOptions): ColdProbe {
  const { admission, clock, limit, logger, mayAsk, request, upstream } = options;
  let stopTimer: (() => void) | undefined;
  let isClosed = false;

  const instanceToAsk = (): UpstreamInstance | undefined => {
    const view = upstream.current();
    return view?.state === 'ready' && mayAsk() && limit.needsHealth() ? view.instance : undefined;
  };

  const probe = async (): Promise<void> => {
    if (!instanceToAsk()) return;
    const admitted = await admission.admit(PROBE_REQUEST);
    if (!admitted.ok) return;
    try {
      // The state may have changed while the probe was queued.
      const instance = instanceToAsk();
      if (!instance) return;
      const sentMilliseconds = clock.monotonicMilliseconds();
      const coldMilliseconds = await request(instance);
      if (coldMilliseconds !== undefined)
        limit.recordHealth(instance, coldMilliseconds, sentMilliseconds);
    } finally {
      // The time of a probe says nothing about calls.
      admitted.value.release('cancelled');
    }
  };

  const schedule = (): void => {
    if (isClosed) return;
    stopTimer = clock.setTimer(INTERVAL_MILLISECONDS, () => {
      void probe()
        .catch((error: unknown) =>
          logger.log('unexpectedError', { during: 'probe', error: String(error) }),
        )
        .then(schedule);
    });
  };

  return {
    start: schedule,
    close: () => {
      isClosed = true;
      stopTimer?.();
    },
  };
}
