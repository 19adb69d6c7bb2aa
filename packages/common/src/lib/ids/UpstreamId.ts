import type { Brand } from './Brand';

/**
 * Identifies an upstream.
 *
 * @public
 */
export type UpstreamId = Brand<string, 'UpstreamId'>;
