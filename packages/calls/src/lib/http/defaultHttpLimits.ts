import type { HttpLimits } from './HttpLimits';

/**
 * Default limits, for callers and peers on the same network. With the headers that nodes add, a head still fits the
 * 16 KB that servers commonly accept.
 *
 * @public
 */
export const defaultHttpLimits: HttpLimits = {
  headMilliseconds: 5_000,
  bodyIdleMilliseconds: 5_000,
  headBytes: 12_288,
  connections: 10_000,
};
