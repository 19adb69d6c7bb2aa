import type { ListenAddress } from '@buckthornslip/config';

/**
 * HTTP listener for operators.
 *
 * @internal
 */
export interface AdminServer {
  readonly listen: (address: ListenAddress) => Promise<void>;
  readonly close: () => void;
}
