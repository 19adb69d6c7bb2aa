import type { LoadReport } from '@buckthornslip/routing';

/**
 * @param value - Value of the load header.
 * @returns The load, or undefined if the value is missing or malformed.
 * @internal
 */
export function parseLoadHeader(value: string | undefined): LoadReport | undefined {
  if (value === undefined) return undefined;
  const [running, queued, limit, cutoffRank, ...rest] = value.split(',').map(Number);
  if (running === undefined || queued === undefined) return undefined;
  if (limit === undefined || cutoffRank === undefined || rest.length > 0) return undefined;
  if ([running, queued, limit, cutoffRank].some((figure) => !Number.isFinite(figure)))
    return undefined;
  return { running, queued, limit, cutoffRank };
}
