import type { Brand } from './Brand';

/**
 * Distinguishes successive node processes of a host: the wall-clock time at which the process started,
 * in milliseconds. A later incarnation of the same host proves that the earlier process has ended.
 *
 * @public
 */
export type Incarnation = Brand<number, 'Incarnation'>;
