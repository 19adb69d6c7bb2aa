import type { LoadSummary } from './LoadSummary';

function lines(title: string, counts: Readonly<Record<string, number>>): string[] {
  return Object.entries(counts).map(([name, value]) => `${title} ${name}: ${value}`);
}

/**
 * @param summary - Results of a load generator.
 * @returns Human-readable text with one value per line.
 * @internal
 */
export function formatSummary(summary: LoadSummary): string {
  const { byReason, byStatus, damaged, elapsedMilliseconds, latencyMilliseconds } = summary;
  return [
    ...lines('status', byStatus),
    ...lines('reason', byReason),
    `damaged bodies: ${damaged}`,
    `elapsed: ${elapsedMilliseconds.toFixed(0)} ms`,
    ...Object.entries(latencyMilliseconds).map(
      ([name, value]) => `latency ${name}: ${value.toFixed(2)} ms`,
    ),
  ].join('\n');
}
