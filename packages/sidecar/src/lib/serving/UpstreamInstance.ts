import type { ServiceId, UpstreamId } from '@buckthornslip/common';

/**
 * What the upstream beside this node has said of itself.
 *
 * @public
 */
export interface UpstreamInstance {
  /** Identity of the upstream; most starts bring a new one. */
  readonly id: UpstreamId;
  /** Wall-clock time of the upstream's start, in milliseconds; tells two starts with one id apart. */
  readonly startedMilliseconds: number;
  /** Grows with each announcement of one start. */
  readonly sequence: number;
  readonly service: ServiceId;
  /** "address:port" at which it takes calls. */
  readonly address: string;
  /** Calls that it can run at once. */
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Time for which it stays slower than usual after its start, in milliseconds. */
  readonly coldStartMilliseconds: number;
}
