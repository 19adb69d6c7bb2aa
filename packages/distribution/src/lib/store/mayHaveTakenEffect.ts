import type { ConfigurationStoreError } from './ConfigurationStoreError';

/**
 * @param error - Failure of a write.
 * @returns Whether the write may still have taken effect or take effect later.
 * @internal
 */
export function mayHaveTakenEffect(error: ConfigurationStoreError): boolean {
  return error.kind === 'unavailable' || error.kind === 'timeout';
}
