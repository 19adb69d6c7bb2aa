import type { Brand } from './Brand';

/**
 * Identifies a partition, which one node holds by a lease.
 *
 * @public
 */
export type PartitionId = Brand<string, 'PartitionId'>;
