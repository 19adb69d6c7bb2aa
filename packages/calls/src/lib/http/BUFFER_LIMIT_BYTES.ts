/**
 * Maximum size of a body that is buffered in memory, in bytes. Requests up to this size can be retried, and responses
 * up to this size are stored for repeats of their attempt.
 *
 * @internal
 */
export const BUFFER_LIMIT_BYTES = 65_536;
