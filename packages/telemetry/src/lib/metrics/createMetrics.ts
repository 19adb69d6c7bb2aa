import { Counter, Registry } from 'prom-client';

import type { Metrics } from './Metrics';

/**
 * Creates the metrics of one process.
 *
 * @returns The metrics, with a separate registry, so that several nodes can run in one process in tests.
 * @public
 */
export function createMetrics(): Metrics {
  const registry = new Registry();
  const refusals = new Counter({
    name: 'buckthornslip_refusals_total',
    help: 'Calls refused or failed, by reason and outcome',
    labelNames: ['reason', 'outcome'],
    registers: [registry],
  });
  const retries = new Counter({
    name: 'buckthornslip_retries_total',
    help: 'Retries made and retries denied, by reason',
    labelNames: ['reason'],
    registers: [registry],
  });
  return {
    registry,
    countRefusal: (reason, outcome) => refusals.inc({ reason, outcome }),
    countRetry: (reason) => retries.inc({ reason }),
  };
}
