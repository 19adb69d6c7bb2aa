import type { EventDefinition } from './EventDefinition';

/**
 * Events of leases, numbered from 4000.
 *
 * @public
 */
export const leaseEvents = {
  leaseTaken: { number: 4000, level: 'info', message: 'partition lease acquired' },
  leaseEnded: { number: 4001, level: 'info', message: 'partition lease no longer held' },
  leaseTakeover: { number: 4002, level: 'info', message: 'takeover of a partition lease started' },
  leaseHandedOver: { number: 4003, level: 'info', message: 'partition lease handed over' },
  leaseHandoverFailed: {
    number: 4004,
    level: 'warn',
    message:
      'handover of a partition lease was not confirmed; a candidate must wait for the end of the term',
  },
  leaseRenewalFailing: {
    number: 4005,
    level: 'warn',
    message:
      'store does not respond to lease renewals; the lease is extended by agreement of its candidates',
    action: 'Check the store.',
  },
  leaseRenewalRecovered: { number: 4006, level: 'info', message: 'lease is renewed again' },
  leasePromiseMissing: {
    number: 4007,
    level: 'warn',
    message: 'a candidate did not agree to extend the lease; it is not extended',
  },
  leasePromiseRefused: {
    number: 4008,
    level: 'info',
    message: 'request of a holder to extend its lease refused',
  },
  leaseCandidatesChanged: { number: 4009, level: 'info', message: 'candidates of a lease changed' },
  leaseRecordInvalid: {
    number: 4010,
    level: 'error',
    message: 'lease record in the store cannot be read',
    action:
      'Look for a node of a newer release, or for another program that writes keys with the prefix leases/.',
  },
} as const satisfies Record<string, EventDefinition>;
