import type { EventDefinition } from './EventDefinition';

/**
 * Events of the connection to the platform's store, numbered from 5000.
 *
 * @public
 */
export const platformEvents = {
  storeUnavailable: {
    number: 5000,
    level: 'warn',
    message: 'store does not respond',
    action: 'Check the store; calls continue with the configuration in force.',
  },
  storeRecovered: { number: 5001, level: 'info', message: 'store responds again' },
} as const satisfies Record<string, EventDefinition>;
