import { failure, type Clock, type Result } from '@buckthornslip/common';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { StoreError } from '../store/StoreError';
import { createStoreEndpoint } from './createStoreEndpoint';
import type { StoreConnection } from './StoreConnection';
import type { StoreEndpoint } from './StoreEndpoint';
import { waitUntilConnected } from './waitUntilConnected';

const isUnanswered = (result: Result<unknown, StoreError>): boolean =>
  !result.ok && (result.error.kind === 'unavailable' || result.error.kind === 'timeout');

/**
 * Creates the connections to the endpoints of the store.
 *
 * @internal
 */
export function createStoreConnection(options: {
  readonly clock: Clock;
  readonly endpoints: readonly string[];
  readonly timeoutMilliseconds: number;
  readonly logger: EventLogger;
}): StoreConnection {
  const { clock, timeoutMilliseconds, logger } = options;
  const endpoints = options.endpoints.map(createStoreEndpoint);
  let index = 0;
  let isFailing = false;

  const current = (): StoreEndpoint => {
    const endpoint = endpoints[index % endpoints.length];
    if (!endpoint) throw new Error('the store client requires at least one endpoint');
    return endpoint;
  };

  const reportFailure = (endpoint: StoreEndpoint): void => {
    if (!isFailing) logger.log('storeUnavailable', { endpoint: endpoint.address });
    isFailing = true;
    if (endpoint === current()) index += 1;
  };

  const reportSuccess = (): void => {
    if (isFailing) logger.log('storeRecovered', { endpoint: current().address });
    isFailing = false;
  };

  const runOnce: StoreConnection['write'] = async (operation) => {
    const endpoint = current();
    const result = await operation(endpoint);
    if (isUnanswered(result)) reportFailure(endpoint);
    else reportSuccess();
    return result;
  };

  const read: StoreConnection['read'] = async <Value>(
    operation: (endpoint: StoreEndpoint) => Promise<Result<Value, StoreError>>,
  ) => {
    let result: Result<Value, StoreError> = failure({ kind: 'unavailable' });
    for (let attempt = 0; attempt < endpoints.length; attempt += 1) {
      result = await runOnce(operation);
      if (!isUnanswered(result)) return result;
    }
    return result;
  };

  const write: StoreConnection['write'] = async (operation) => {
    for (let attempt = 0; attempt < endpoints.length; attempt += 1) {
      const endpoint = current();
      if (await waitUntilConnected(endpoint)) return runOnce(operation);
      reportFailure(endpoint);
    }
    return failure({ kind: 'unavailable' });
  };

  const close = (): void => endpoints.forEach((endpoint) => endpoint.close());
  return {
    clock,
    timeoutMilliseconds,
    current,
    reportFailure,
    reportSuccess,
    read,
    write,
    close,
  };
}
