import type { Brand } from './Brand';

/**
 * Identifies a service.
 *
 * @public
 */
export type ServiceId = Brand<string, 'ServiceId'>;
