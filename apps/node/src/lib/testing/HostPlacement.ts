/**
 * Region, zone and service of one host of a test fleet.
 *
 * @public
 */
export interface HostPlacement {
  readonly region: string;
  readonly zone: string;
  readonly service: string;
}
