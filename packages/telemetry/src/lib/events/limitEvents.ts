import type { EventDefinition } from './EventDefinition';

/**
 * Events of account limits, numbered from 4500.
 *
 * @public
 */
export const limitEvents = {
  limitPartitionClaimed: {
    number: 4500,
    level: 'info',
    message: 'node started granting the account limits of a partition',
  },
  limitPartitionLost: {
    number: 4501,
    level: 'info',
    message: 'node stopped granting the account limits of a partition',
  },
  limitPartMoved: {
    number: 4502,
    level: 'info',
    message: 'part of an account limit moved to another region',
  },
  limitSplitUnavailable: {
    number: 4503,
    level: 'warn',
    message: 'split of account limits cannot be read or written',
    action: 'Check the store; the last known parts stay in use.',
  },
  limitSplitInvalid: {
    number: 4504,
    level: 'error',
    message: 'split record of account limits is malformed',
    action: 'Find out who wrote the record; its accounts get no tokens until it is repaired.',
  },
  limitHolderUnreachable: {
    number: 4505,
    level: 'debug',
    message: 'token server of an account limit did not respond',
  },
} as const satisfies Record<string, EventDefinition>;
