/**
 * How a node received records, which determines how far it spreads them: `gossip` is piggybacked on a probe
 * message, `push` is sent to the whole group, `roster` comes from a member's table or a zone contact.
 *
 * @internal
 */
export type RecordSource = 'gossip' | 'push' | 'roster';
