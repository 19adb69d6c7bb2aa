import type { UpstreamStart } from './UpstreamStart';

/**
 * @param first - An upstream.
 * @param second - An upstream.
 * @returns Whether both are the same start of the same upstream; a restarted upstream may keep its id.
 * @internal
 */
export function isSameStart(first: UpstreamStart, second: UpstreamStart): boolean {
  return first.id === second.id && first.startedMilliseconds === second.startedMilliseconds;
}
