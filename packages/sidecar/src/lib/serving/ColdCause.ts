/**
 * Why the limit of a cold upstream begins, changes or ends.
 *
 * @internal
 */
export type ColdCause =
  'announcement' | 'configuration' | 'evacuation-ended' | 'health-response' | 'elapsed';
