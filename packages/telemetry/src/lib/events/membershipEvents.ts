import type { EventDefinition } from './EventDefinition';

/**
 * Events of membership and routing, numbered from 2000.
 *
 * @public
 */
export const membershipEvents = {
  memberDied: { number: 2000, level: 'info', message: 'member declared dead' },
  memberSuspected: { number: 2001, level: 'debug', message: 'member does not respond to probes' },
  memberReturned: {
    number: 2002,
    level: 'info',
    message: 'member that was declared dead is alive again',
  },
  serviceJoined: { number: 2003, level: 'info', message: 'node joined a service group' },
  contactTaken: { number: 2004, level: 'info', message: 'node became a contact of its zone' },
  contactLeft: { number: 2005, level: 'info', message: 'node is no longer a contact of its zone' },
  contactsUnreachable: {
    number: 2006,
    level: 'warn',
    message: 'no contact of the zone responds',
    action: 'Check the network and the store; known members stay in use.',
  },
  incarnationSuperseded: {
    number: 2007,
    level: 'error',
    message: 'the fleet knows a later incarnation of this host',
    action:
      'Two processes use the same host name, or the wall clock was set back; stop one of them.',
  },
  memberEjected: { number: 2100, level: 'info', message: 'member ejected after failed attempts' },
} as const satisfies Record<string, EventDefinition>;
