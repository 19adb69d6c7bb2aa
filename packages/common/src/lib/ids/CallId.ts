import type { Brand } from './Brand';

/**
 * Identifies a call on one hop.
 *
 * @public
 */
export type CallId = Brand<string, 'CallId'>;
