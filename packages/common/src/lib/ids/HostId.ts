import type { Brand } from './Brand';

/**
 * Identifies a host; one node runs on it at a time.
 *
 * @public
 */
export type HostId = Brand<string, 'HostId'>;
