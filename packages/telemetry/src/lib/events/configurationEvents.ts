import type { EventDefinition } from './EventDefinition';

/**
 * Events of the configuration, numbered from 3000.
 *
 * @public
 */
export const configurationEvents = {
  revisionInForce: { number: 3000, level: 'info', message: 'configuration revision in force' },
  revisionRejected: {
    number: 3001,
    level: 'error',
    message: 'configuration revision rejected',
    action: 'Compare the versions of this node and of the publisher, and the fleet secrets.',
  },
  revisionIncomplete: {
    number: 3002,
    level: 'debug',
    message: 'parts of a configuration revision could not be read',
  },
  storeRevisionLower: {
    number: 3003,
    level: 'error',
    message: 'the store has a lower configuration revision than the one in force',
    action: 'The store has lost data. Publish the manifest again until its revision is higher.',
  },
  storeNotFollowed: {
    number: 3004,
    level: 'warn',
    message: 'configuration cannot be read from the store',
    action: 'Check the store; the current configuration stays in force.',
  },
  storeFollowed: {
    number: 3005,
    level: 'info',
    message: 'configuration can be read from the store again',
  },
} as const satisfies Record<string, EventDefinition>;
