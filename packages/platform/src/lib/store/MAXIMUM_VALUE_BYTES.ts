/**
 * Largest value that the platform's store accepts, in bytes.
 *
 * @public
 */
export const MAXIMUM_VALUE_BYTES = 1_000_000;
