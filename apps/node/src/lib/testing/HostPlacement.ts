/**
 * Where one host of a fleet in a test process stands.
 *
 * @public
 */
export interface HostPlacement {
  readonly region: string;
  readonly zone: string;
  readonly service: string;
}
