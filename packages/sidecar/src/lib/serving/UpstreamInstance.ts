import type { ServiceId, UpstreamId } from '@buckthornslip/common';

/**
 * Announcement of the local upstream.
 *
 * @public
 */
export interface UpstreamInstance {
  /** Identity of the upstream; usually new for each start. */
  readonly id: UpstreamId;
  /** Wall-clock time of the upstream's start, in milliseconds; distinguishes two starts with the same id. */
  readonly startedMilliseconds: number;
  /** Increases with each announcement within one start. */
  readonly sequence: number;
  readonly service: ServiceId;
  /** "address:port" at which it accepts calls. */
  readonly address: string;
  /** Calls that it can run concurrently. */
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Warm-up time after its start, during which it is slower, in milliseconds. */
  readonly coldStartMilliseconds: number;
}
