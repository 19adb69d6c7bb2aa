import type { ListenAddress } from '@buckthornslip/config';

/**
 * @param address - Address of a listener.
 * @returns "address:port".
 * @internal
 */
export function formatAddress({ address, port }: ListenAddress): string {
  return `${address}:${port}`;
}
