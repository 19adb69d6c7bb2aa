/**
 * Liveness of a node according to failure detection.
 *
 * @public
 */
export type Liveness = 'alive' | 'suspect' | 'dead';
