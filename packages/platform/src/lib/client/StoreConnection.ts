import type { Clock, Result } from '@buckthornslip/common';

import type { StoreError } from '../store/StoreError';
import type { StoreEndpoint } from './StoreEndpoint';

/**
 * Connections to the endpoints of the store, one of which is in use.
 *
 * @internal
 */
export interface StoreConnection {
  readonly clock: Clock;
  readonly timeoutMilliseconds: number;
  readonly current: () => StoreEndpoint;

  /** Switches to the next endpoint if the failed one is still in use. */
  readonly reportFailure: (endpoint: StoreEndpoint) => void;
  readonly reportSuccess: () => void;

  /** Runs a read, trying each endpoint once until one responds. */
  readonly read: <Value>(
    operation: (endpoint: StoreEndpoint) => Promise<Result<Value, StoreError>>,
  ) => Promise<Result<Value, StoreError>>;

  /**
   * Runs a write once, on the first endpoint that is connected. A retry at another endpoint could conflict
   * with the effect of the first attempt.
   */
  readonly write: <Value>(
    operation: (endpoint: StoreEndpoint) => Promise<Result<Value, StoreError>>,
  ) => Promise<Result<Value, StoreError>>;

  readonly close: () => void;
}
