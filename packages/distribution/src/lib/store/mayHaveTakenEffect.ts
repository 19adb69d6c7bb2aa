import type { ConfigurationStoreError } from './ConfigurationStoreError';

/**
 * @param error - Error of a write.
 * @returns Whether the write may have taken effect, or may still take effect later.
 * @internal
 */
export function mayHaveTakenEffect(error: ConfigurationStoreError): boolean {
  return error.kind === 'unavailable' || error.kind === 'timeout';
}
