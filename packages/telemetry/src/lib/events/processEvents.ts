import type { EventDefinition } from './EventDefinition';

/**
 * Events of the process, numbered from 6000.
 *
 * @public
 */
export const processEvents = {
  processStarted: { number: 6000, level: 'info', message: 'process started' },
  processStopping: { number: 6001, level: 'info', message: 'graceful stop started' },
  stopLimitReached: {
    number: 6003,
    level: 'error',
    message: 'time limit of the graceful stop reached; calls in progress are aborted',
    action: 'Raise stop_limit_milliseconds, or look for calls that never end.',
  },
  unexpectedError: {
    number: 6004,
    level: 'error',
    message: 'unexpected error; the process continues',
    action: 'Report the error with its stack.',
  },
  processStopped: { number: 6002, level: 'info', message: 'graceful stop finished' },
} as const satisfies Record<string, EventDefinition>;
