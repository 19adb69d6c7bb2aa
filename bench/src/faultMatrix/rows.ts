/** Steps of a call, in the order in which they are reached. */
export const callSteps = [
  'accept',
  'authenticate',
  'limit',
  'route',
  'forward',
  'queue',
  'start',
  'response head',
  'response body',
  'end',
] as const;

/** Operations that run concurrently with calls. */
export const operations = [
  'publish',
  'grant',
  'withdraw',
  'announce',
  'acquire lease',
  'renew lease',
  'hand over',
  'stop',
] as const;

/** A step of a call. */
export type CallStep = (typeof callSteps)[number];

/** An operation that runs concurrently with calls. */
export type Operation = (typeof operations)[number];
