import type { Brand } from './Brand';

/**
 * Identifies one attempt of a call.
 *
 * @public
 */
export type AttemptId = Brand<string, 'AttemptId'>;
