/**
 * IP address and port of a listener.
 *
 * @public
 */
export interface ListenAddress {
  readonly address: string;
  readonly port: number;
}
