/**
 * Importance of a call, determined by the route of its root call.
 *
 * @public
 */
export type Priority = 'critical' | 'high' | 'normal' | 'low';
