/**
 * State of a node's local upstream, as the node announces it.
 *
 * @public
 */
export type MemberState = 'starting' | 'ready' | 'draining' | 'left';
