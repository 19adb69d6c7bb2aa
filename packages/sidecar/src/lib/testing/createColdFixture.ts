import { createAdmissionController } from '@buckthornslip/admission';
import type { ServiceId, UpstreamId } from '@buckthornslip/common';
import { createFakeClock } from '@buckthornslip/common';
import type { PolicyService } from '@buckthornslip/config';
import { createSilentLogger } from '@buckthornslip/telemetry';

import { createColdLimit } from '../serving/createColdLimit';
import type { UpstreamInstance } from '../serving/UpstreamInstance';

/** A service with a warm-up rate, for tests. */
export const coldService: PolicyService = {
  id: 'a' as ServiceId,
  connections: 64,
  slowStartMilliseconds: 5_000,
  warmUpPerSecond: 20,
  healthPath: '/health',
};

/**
 * Creates a cold limit of an upstream with 64 slots that is announced every 1.5 s, with its admission controller and a fake
 * clock, for tests.
 *
 * @param service - Settings of the service; "unknown" before the first policy.
 * @returns The limit, what it uses, and a function that announces the upstream.
 */
export function createColdFixture(service: PolicyService | 'unknown' = coldService) {
  const clock = createFakeClock();
  const logger = createSilentLogger();
  const admission = createAdmissionController({ clock, adaptsToLatency: false });
  const causes: string[] = [];
  const limit = createColdLimit({
    clock,
    logger,
    announcementMilliseconds: 1_500,
    setRateLimit: (perSecond) => admission.setRateLimit(perSecond, 'cold'),
    countLimit: (cause) => causes.push(cause),
  });
  if (service !== 'unknown') limit.configure(service);
  const instance: UpstreamInstance = {
    id: 'i-1' as UpstreamId,
    startedMilliseconds: 0,
    sequence: 1,
    service: coldService.id,
    address: '127.0.0.1:1',
    slots: 64,
    state: 'ready',
    coldStartMilliseconds: 0,
  };
  admission.setCapacity({ ...instance, queueTargetMilliseconds: 400 });
  const announce = (
    sequence: number,
    coldStartMilliseconds: number,
    startedMilliseconds = 0,
  ): void => limit.announce({ ...instance, sequence, coldStartMilliseconds, startedMilliseconds });
  return { admission, announce, causes, clock, instance, limit, logger };
}
