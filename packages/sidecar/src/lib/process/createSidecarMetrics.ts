import type { Outcome, RefusalReason, RetryReason } from '@buckthornslip/common';
import { createMetrics } from '@buckthornslip/telemetry';
import { Counter, Gauge, Histogram } from 'prom-client';

import type { PolicyFaultKind } from '../policy/PolicyFault';
import type { ColdCause } from '../serving/ColdCause';

/** Upper bounds of the latency histogram, in seconds. */
const LATENCY_SECONDS = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8];

const MILLISECONDS_PER_SECOND = 1_000;

/** Metrics of a sidecar process. */
export interface SidecarMetrics {
  readonly countRefusal: (reason: RefusalReason, outcome: Outcome) => void;
  readonly countRetry: (reason: RetryReason) => void;
  /** Counts a call refused at its entry because calls below it would lack capacity. */
  readonly countEarlyRefusal: (rank: number) => void;
  readonly countPolicyFault: (kind: PolicyFaultKind) => void;
  /** Counts the beginning of a limit because the upstream is cold. */
  readonly countColdLimit: (cause: ColdCause) => void;
  /** @param milliseconds - Time from the arrival of the request to the end of the response. */
  readonly observeCall: (route: string, status: number, milliseconds: number) => void;
  readonly countStoreRestore: () => void;
  /** Counts a connection that a limit has held or closed. */
  readonly countLimitedConnection: (listener: string, reason: string) => void;
  /** Adds a gauge that is read when the metrics are scraped; its name gets the project's prefix. */
  readonly addGauge: (name: string, help: string, read: () => number) => void;
  /** @returns All metrics in the Prometheus text format. */
  readonly text: () => Promise<string>;
}

/**
 * @returns The metrics of one process.
 * @public
 */
export function createSidecarMetrics(): SidecarMetrics {
  const metrics = createMetrics();
  const { registry } = metrics;
  const calls = new Histogram({
    name: 'buckthornslip_call_seconds',
    help: 'Time from arrival to the end of the answer, by route and class of status',
    labelNames: ['route', 'status'],
    buckets: LATENCY_SECONDS,
    registers: [registry],
  });
  const policyFaults = new Counter({
    name: 'buckthornslip_policy_faults_total',
    help: 'Faults of policies that did not keep the rest from being in force, by kind',
    labelNames: ['kind'],
    registers: [registry],
  });
  const coldLimits = new Counter({
    name: 'buckthornslip_cold_limits_total',
    help: 'Times that calls were limited because the upstream became cold, by how it was noticed',
    labelNames: ['cause'],
    registers: [registry],
  });
  const storeRestores = new Counter({
    name: 'buckthornslip_store_restores_total',
    help: 'Restores of the store from a backup that this process has noticed',
    registers: [registry],
  });
  const earlyRefusals = new Counter({
    name: 'buckthornslip_early_refusals_total',
    help: 'Calls refused at their entry because calls below them would lack capacity, by priority rank',
    labelNames: ['rank'],
    registers: [registry],
  });
  const limitedConnections = new Counter({
    name: 'buckthornslip_limited_connections_total',
    help: 'Connections that a limit has held or closed, by listener and reason',
    labelNames: ['listener', 'reason'],
    registers: [registry],
  });
  return {
    countLimitedConnection: (listener, reason) => limitedConnections.inc({ listener, reason }),
    countRefusal: metrics.countRefusal,
    countRetry: metrics.countRetry,
    countEarlyRefusal: (rank) => earlyRefusals.inc({ rank }),
    countPolicyFault: (kind) => policyFaults.inc({ kind }),
    countColdLimit: (cause) => coldLimits.inc({ cause }),
    observeCall: (route, status, milliseconds) => {
      const statusClass = `${Math.floor(status / 100)}xx`;
      calls.observe({ route, status: statusClass }, milliseconds / MILLISECONDS_PER_SECOND);
    },
    countStoreRestore: () => storeRestores.inc(),
    addGauge: (name, help, read) => {
      const gauge: Gauge = new Gauge({
        name: `buckthornslip_${name}`,
        help,
        registers: [registry],
        collect: () => gauge.set(read()),
      });
    },
    text: () => registry.metrics(),
  };
}
