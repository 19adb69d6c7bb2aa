import { createHttpListener } from '../http/createHttpListener';
import { defaultHttpLimits } from '../http/defaultHttpLimits';
import type { HttpListener } from '../http/HttpListener';
import { createKeyEncodingsCache } from './createKeyEncodingsCache';
import { createWithdrawalWatch } from './createWithdrawalWatch';
import type { EntryDependencies } from './EntryDependencies';
import { handleEntryRequest } from './handleEntryRequest';

/**
 * Creates the listener for callers.
 *
 * @param dependencies - Dependencies of the listener.
 * @returns The listener.
 * @public
 */
export function createEntryServer(dependencies: EntryDependencies): HttpListener {
  const watch = createWithdrawalWatch(dependencies.configuration);
  const state = { watch, keyEncodings: createKeyEncodingsCache() };
  const limits = dependencies.limits ?? defaultHttpLimits;
  const listener = createHttpListener(dependencies, limits, (request, response) =>
    handleEntryRequest(dependencies, state, request, response),
  );
  return {
    ...listener,
    close: async () => {
      watch.close();
      await listener.close();
    },
  };
}
