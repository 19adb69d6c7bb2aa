/**
 * Exclusive upper limit of the lease ids that clients choose. It is the largest range of `crypto.randomInt`,
 * and the ids are safe integers; ids chosen by an etcd server use all 64 bits and would not be.
 *
 * @internal
 */
export const MAXIMUM_LEASE_ID = 2 ** 48 - 1;
