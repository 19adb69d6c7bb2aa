import type { EventDefinition } from './EventDefinition';

/**
 * Events of sidecars, numbered from 7000.
 *
 * @public
 */
export const sidecarEvents = {
  callAnswered: { number: 7000, level: 'info', message: 'call answered by an upstream' },
  callFailedFinally: { number: 7001, level: 'info', message: 'call refused or failed' },
  callRejected: { number: 7002, level: 'info', message: 'request not accepted' },
  attemptEnded: { number: 7003, level: 'info', message: 'attempt ended without a good answer' },
  attemptFailed: { number: 7004, level: 'info', message: 'upstream gave no usable answer' },
  admissionRefused: { number: 7005, level: 'info', message: 'call not admitted to the upstream' },
  answerUnsigned: {
    number: 7006,
    level: 'warn',
    message: 'upstream answered with success but without its mark; the answer was withheld',
  },
  bodyTooLong: {
    number: 7007,
    level: 'info',
    message: 'body grew beyond the limit; the connection was closed',
  },
  upstreamStateChanged: { number: 7100, level: 'info', message: 'upstream changed its state' },
  announcementRejected: { number: 7101, level: 'warn', message: 'malformed announcement ignored' },
  memberChanged: { number: 7200, level: 'info', message: 'news of another node' },
  memberUnreachable: { number: 7201, level: 'warn', message: 'node does not answer' },
  memberForgotten: { number: 7202, level: 'info', message: 'node has no record and is silent' },
  recordRejected: { number: 7203, level: 'warn', message: 'malformed record ignored' },
  recordOutranked: {
    number: 7204,
    level: 'warn',
    message: 'records of an earlier process look newer; the own record was renumbered',
    action: 'Check the clock of the host.',
  },
  policyInForce: { number: 7300, level: 'info', message: 'policy in force' },
  policyRejected: {
    number: 7301,
    level: 'error',
    message: 'policy could not be read; the earlier one stays in force',
    action: 'Check what was written to the store.',
  },
  policySourceLost: { number: 7302, level: 'warn', message: 'store does not report policies' },
  policySourceRegained: { number: 7303, level: 'info', message: 'store reports policies again' },
  storeLost: {
    number: 7304,
    level: 'warn',
    message: 'store does not keep the record of this node',
    action: 'Check the store; nodes that know each other go on without it.',
  },
  storeRegained: { number: 7305, level: 'info', message: 'store keeps the record of this node' },
  linkLost: { number: 7205, level: 'info', message: 'connection to another node was lost' },
  linkSilent: { number: 7206, level: 'warn', message: 'connection to another node went silent' },
  ledgerUnreachable: { number: 7400, level: 'warn', message: 'account ledger does not answer' },
  settingsReloaded: { number: 7500, level: 'info', message: 'settings read again' },
  settingsRejected: {
    number: 7501,
    level: 'error',
    message: 'settings could not be read; the earlier ones stay in force',
    action: 'Check the settings file.',
  },
  linesDropped: { number: 7502, level: 'warn', message: 'log lines dropped to bound the volume' },
} as const satisfies Record<string, EventDefinition>;
