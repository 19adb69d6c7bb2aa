import type { HostId, RegionId, ZoneId } from '@buckthornslip/common';

import type { ListenAddress } from './ListenAddress';

/**
 * Settings of a node process, read from its TOML file.
 *
 * @public
 */
export interface NodeSettings {
  readonly host: HostId;
  readonly region: RegionId;
  readonly zone: ZoneId;
  readonly listeners: {
    readonly callers: ListenAddress;
    readonly outgoing: ListenAddress;
    readonly peers: ListenAddress;
    readonly control: ListenAddress;
    readonly admin: ListenAddress;
  };
  /** Addresses of the platform's store, as "address:port". */
  readonly storeEndpoints: readonly string[];
  /** Control addresses of other nodes, used if the store cannot be reached at startup. */
  readonly seeds: readonly string[];
  readonly fleetSecret: string;
  /** Maximum duration of a graceful shutdown, in milliseconds. */
  readonly stopLimitMilliseconds: number;
  /**
   * Time without contact to the store and to at least one region after which keyed calls are refused, in milliseconds.
   */
  readonly freshnessLimitMilliseconds: number;
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
}
