import type { EventLogger } from '@buckthornslip/telemetry';

import type { SidecarMetrics } from '../process/createSidecarMetrics';
import type { PolicyFault } from './PolicyFault';

/** Faults that are named in a log line; the count covers all of them. */
const LOGGED_FAULTS = 8;

/**
 * Reports the faults of a policy.
 *
 * @param revision - Revision of the policy.
 * @param faults - Faults found; may be empty.
 */
export type PolicyFaultReporter = (revision: number, faults: readonly PolicyFault[]) => void;

/**
 * Creates the reporter of policy faults, which logs and counts them.
 *
 * @param logger - Logger.
 * @param metrics - Metrics of the process.
 * @returns The reporter.
 * @internal
 */
export function createPolicyFaultReporter(
  logger: EventLogger,
  metrics: Pick<SidecarMetrics, 'countPolicyFault'>,
): PolicyFaultReporter {
  return (revision, faults) => {
    if (faults.length === 0) return;
    faults.forEach(({ kind }) => metrics.countPolicyFault(kind));
    logger.log('policyFaulty', {
      revision,
      count: faults.length,
      faults: faults.slice(0, LOGGED_FAULTS).map(({ kind, path }) => `${path}: ${kind}`),
    });
  };
}
