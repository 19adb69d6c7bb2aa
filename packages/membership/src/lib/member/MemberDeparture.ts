import type { UpstreamId } from '@buckthornslip/common';

/**
 * Start of an upstream whose departure its node has acknowledged.
 *
 * @public
 */
export interface MemberDeparture {
  readonly id: UpstreamId;
  /** Wall-clock time of the upstream's start, in milliseconds. */
  readonly startedMilliseconds: number;
  readonly state: 'draining' | 'left';
}
