import type { Brand } from './Brand';

/**
 * Identifies a root call; its nested calls carry the same id.
 *
 * @public
 */
export type RootCallId = Brand<string, 'RootCallId'>;
