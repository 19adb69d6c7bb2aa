import type { Brand } from './Brand';

/**
 * Identifies a region.
 *
 * @public
 */
export type RegionId = Brand<string, 'RegionId'>;
