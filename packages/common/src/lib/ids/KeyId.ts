import type { Brand } from './Brand';

/**
 * Identifies a key of a client account.
 *
 * @public
 */
export type KeyId = Brand<string, 'KeyId'>;
