import type { EventDefinition } from './EventDefinition';

/**
 * Events of sidecars, numbered from 7000.
 *
 * @public
 */
export const sidecarEvents = {
  callAnswered: {
    number: 7000,
    level: 'info',
    message: 'call answered by an upstream',
    perCall: true,
  },
  callFailedFinally: {
    number: 7001,
    level: 'info',
    message: 'call refused or failed',
    perCall: true,
  },
  callRejected: { number: 7002, level: 'info', message: 'request not accepted', perCall: true },
  attemptEnded: {
    number: 7003,
    level: 'info',
    message: 'attempt ended without a successful response',
    perCall: true,
  },
  attemptFailed: {
    number: 7004,
    level: 'info',
    message: 'upstream sent no usable response',
    perCall: true,
  },
  admissionRefused: {
    number: 7005,
    level: 'info',
    message: 'call not admitted to the upstream',
    perCall: true,
  },
  repeatRefused: {
    number: 7009,
    level: 'info',
    message: 'repeated call not sent to the upstream, because it has received too many',
    perCall: true,
  },
  answerUnsigned: {
    number: 7006,
    level: 'warn',
    message: 'upstream sent a successful response without its signature; the response was withheld',
    perCall: true,
  },
  answerContradictory: {
    number: 7008,
    level: 'warn',
    message:
      'upstream sent a status that means "not run" without stating that it has not run; the response was withheld',
    perCall: true,
  },
  callerLeft: {
    number: 7012,
    level: 'info',
    message: 'caller closed its connection before its call was answered',
    perCall: true,
  },
  callCancelled: {
    number: 7013,
    level: 'info',
    message: 'entry node cancelled a call, or can not be reached any more',
    perCall: true,
  },
  callHeld: {
    number: 7014,
    level: 'warn',
    message: 'call waited because its entry node does not read its answers fast enough',
    perCall: true,
  },
  bodyTooLong: {
    number: 7007,
    level: 'info',
    message: 'body exceeded the limit; the connection was closed',
    perCall: true,
  },
  earlyRefusalStarted: {
    number: 7010,
    level: 'warn',
    message:
      'calls are refused at this entry because serving nodes report that calls below them lack capacity',
    action: 'Look for the service below the route that lacks capacity.',
  },
  earlyRefusalEnded: {
    number: 7011,
    level: 'info',
    message: 'no calls are refused early at this entry any more',
  },
  upstreamStateChanged: { number: 7100, level: 'info', message: 'upstream changed its state' },
  upstreamCrashed: {
    number: 7105,
    level: 'warn',
    message: 'upstream has ended without notice; the calls that it had not answered are suspects',
  },
  suspectRefused: {
    number: 7106,
    level: 'warn',
    message: 'call refused because upstreams crashed while equal calls were running',
  },
  upstreamDeparted: { number: 7104, level: 'info', message: 'departure of an upstream received' },
  departureNotSaved: {
    number: 7108,
    level: 'warn',
    message:
      'departure acknowledged before the store has accepted it; it is forgotten if all nodes end now',
  },
  upstreamLimitChanged: {
    number: 7102,
    level: 'info',
    message: 'upstream stated another limit of calls per second, or none',
  },
  upstreamColdLimitChanged: {
    number: 7107,
    level: 'info',
    message: 'limit of calls per second of a cold upstream began, changed or ended',
  },
  announcementRejected: { number: 7101, level: 'warn', message: 'malformed announcement ignored' },
  memberChanged: { number: 7200, level: 'info', message: 'state of another node changed' },
  isolationChanged: {
    number: 7210,
    level: 'warn',
    message:
      'contact to all other nodes was lost or regained; limits are granted in part or as a whole',
  },
  memberUnreachable: { number: 7201, level: 'warn', message: 'node does not respond' },
  memberForgotten: {
    number: 7202,
    level: 'info',
    message: 'node without a record in the store did not respond and was removed',
  },
  recordRejected: { number: 7203, level: 'warn', message: 'malformed record ignored' },
  recordOutranked: {
    number: 7204,
    level: 'warn',
    message:
      'record of an earlier process has a higher incarnation; this process raised its own above it',
    action: 'Check the clock of the host.',
  },
  policyInForce: { number: 7300, level: 'info', message: 'policy in force' },
  policyRejected: {
    number: 7301,
    level: 'error',
    message: 'policy is invalid; the earlier one stays in force',
    action: 'Check the configuration that was written to the store.',
  },
  policyFaulty: {
    number: 7309,
    level: 'warn',
    message:
      'fields of the policy are invalid or name regions in which no node is known; the rest is in force',
    action: 'Check these fields of the configuration that was written to the store.',
  },
  policySourceLost: {
    number: 7302,
    level: 'warn',
    message: 'policies cannot be read from the store',
  },
  policySourceRegained: {
    number: 7303,
    level: 'info',
    message: 'policies can be read from the store again',
  },
  policyDutyChanged: {
    number: 7306,
    level: 'info',
    message: 'node started or stopped following the policy in the store for itself and its zone',
  },
  policyAnnounced: {
    number: 7307,
    level: 'info',
    message: 'another node has a newer policy',
  },
  policyRequested: {
    number: 7310,
    level: 'info',
    message: 'newer policy is requested from a node that has announced it',
  },
  policyFetchFailed: {
    number: 7308,
    level: 'warn',
    message: 'newer policy could not be fetched from another node',
  },
  evacuationOrdered: {
    number: 7320,
    level: 'warn',
    message: 'zone is evacuated; its upstreams get no new calls',
  },
  evacuationEnded: {
    number: 7321,
    level: 'warn',
    message: 'evacuation of a zone has ended',
  },
  evacuationRetained: {
    number: 7322,
    level: 'warn',
    message: 'store has returned from a backup without an order; it stays in force for a while',
    action: 'Write the order again if the zone is still to be evacuated.',
  },
  evacuationKeyRejected: {
    number: 7323,
    level: 'error',
    message: 'evacuation order without a readable name of a zone ignored',
    action: 'Remove the key, and write the one with the name of the zone.',
  },
  evacuationZoneUnknown: {
    number: 7324,
    level: 'warn',
    message: 'evacuation order for a zone without nodes has no effect',
    action: 'Compare the name in the key with the zones in the settings.',
  },
  ownZoneEvacuated: {
    number: 7325,
    level: 'warn',
    message: 'zone of this node is evacuated; calls for its upstream are refused',
  },
  ownZoneRestored: {
    number: 7326,
    level: 'warn',
    message: 'zone of this node is no longer evacuated; its upstream gets calls again',
  },
  storeLost: {
    number: 7304,
    level: 'warn',
    message: 'record of this node cannot be kept in the store',
    action: 'Check the store; nodes that know each other continue without it.',
  },
  storeRegained: {
    number: 7305,
    level: 'info',
    message: 'record of this node is kept in the store again',
  },
  storeRestored: {
    number: 7330,
    level: 'warn',
    message: 'the store was restored from a backup; this node writes its record again',
    action: 'Check that the configuration in the store is the latest one.',
  },
  recordRewritten: {
    number: 7331,
    level: 'info',
    message: 'record of this node was written to the restored store',
  },
  policyOlderInStore: {
    number: 7332,
    level: 'warn',
    message: 'the store has an older policy than the one in force, or none; the one in force stays',
    action: 'Write the latest configuration to the store again.',
  },
  linkLost: { number: 7205, level: 'info', message: 'connection to another node was lost' },
  linkSilent: {
    number: 7206,
    level: 'warn',
    message: 'connection to another node stopped responding',
  },
  frameFailed: {
    number: 7207,
    level: 'error',
    message: 'message of another node could not be handled; its connection was closed',
    action: 'Report the error.',
  },
  ledgerUnreachable: { number: 7400, level: 'warn', message: 'account ledger does not respond' },
  settingsReloaded: { number: 7500, level: 'info', message: 'settings file read again' },
  settingsRejected: {
    number: 7501,
    level: 'error',
    message: 'settings file is unreadable or invalid and was not applied',
    action: 'Check the settings file.',
  },
  linesDropped: { number: 7502, level: 'warn', message: 'log lines dropped to limit their volume' },
  eventLoopDelayed: {
    number: 7503,
    level: 'warn',
    message: 'timers ran late, because the process had too much work or too little processor time',
  },
  connectionLimited: {
    number: 7504,
    level: 'warn',
    message: 'connection of a caller held or closed by a limit',
    action: 'Compare the limits for callers in OPERATIONS.md.',
  },
  upstreamSlow: {
    number: 7600,
    level: 'warn',
    message: 'upstream has taken more than twice the usual time of its service for several seconds',
    action: 'Check the host of the upstream.',
  },
  upstreamSpeedUsual: {
    number: 7601,
    level: 'info',
    message: 'upstream takes about the usual time of its service again',
  },
} as const satisfies Record<string, EventDefinition>;
