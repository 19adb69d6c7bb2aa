import type { Brand } from './Brand';

/**
 * Identifies an availability zone.
 *
 * @public
 */
export type ZoneId = Brand<string, 'ZoneId'>;
