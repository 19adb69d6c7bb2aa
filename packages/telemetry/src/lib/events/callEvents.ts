import type { EventDefinition } from './EventDefinition';

/**
 * Events of calls, numbered from 1000.
 *
 * @public
 */
export const callEvents = {
  callRefused: { number: 1000, level: 'debug', message: 'call refused' },
  connectionRejected: { number: 1001, level: 'debug', message: 'malformed request rejected' },
  responseTruncated: {
    number: 1002,
    level: 'warn',
    message: 'response was truncated and the connection to the caller reset',
  },
  callFailed: {
    number: 1003,
    level: 'error',
    message: 'unexpected error while handling a call',
    action: 'Report the error text; the call ended without a complete response.',
  },
  connectionPoolRetired: {
    number: 1004,
    level: 'warn',
    message: 'three consecutive connections stopped responding; the connection pool was replaced',
    action: 'Check the network between the two hosts if this repeats.',
  },
  upstreamAnnounced: { number: 1005, level: 'info', message: 'upstream announced itself' },
  upstreamLost: {
    number: 1006,
    level: 'warn',
    message: 'upstream failed with calls in progress, or refuses connections',
    action: 'Check the upstream process; calls are refused until it announces itself again.',
  },
} as const satisfies Record<string, EventDefinition>;
