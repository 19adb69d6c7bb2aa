import type { Brand } from './Brand';

/**
 * Identifies a client account.
 *
 * @public
 */
export type AccountId = Brand<string, 'AccountId'>;
