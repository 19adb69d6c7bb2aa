import type { StoreError } from './StoreError';
import { MAXIMUM_VALUE_BYTES } from './MAXIMUM_VALUE_BYTES';

/**
 * @param value - Value to write.
 * @returns An error if the value exceeds {@link MAXIMUM_VALUE_BYTES}.
 * @internal
 */
export function checkValueSize(value: Uint8Array): StoreError | undefined {
  if (value.byteLength <= MAXIMUM_VALUE_BYTES) return undefined;
  return {
    kind: 'value-too-large',
    bytes: value.byteLength,
    limitBytes: MAXIMUM_VALUE_BYTES,
  };
}
