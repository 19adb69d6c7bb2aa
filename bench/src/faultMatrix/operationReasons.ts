import type { Fault } from './faults';
import type { Operation } from './rows';

type Reasons = Readonly<Partial<Record<Fault, string>>>;

/**
 * The publisher runs in ctl and calls only the store. The nodes that receive the revision are not part of these rows.
 */
const publisherReasons: Reasons = {
  'slow service with surge': 'The publisher runs in ctl and calls only the store, no service.',
  'lease lapsed in a pause':
    'A publication needs no lease; one that was paused fails its compare-and-swap.',
  'crashing request sent again': 'No request is involved.',
  'upstream crash': 'No upstream is involved.',
  'misleading health': 'Publications read no health or load figures.',
};

/** Leases depend on calls to the store and on control messages between nodes. */
const leaseReasons: Reasons = {
  'slow service with surge': 'Leases use the store and control messages, not the queues for calls.',
  'key withdrawn':
    'Lease messages are authenticated with the fleet secret, not with keys of accounts.',
  'conflicting publications': 'Lease records are not part of the configuration.',
  'crashing request sent again':
    'The request crashes an upstream, not the node that holds the lease.',
  'upstream crash': 'The lease belongs to the node process, which keeps running.',
  'misleading health': 'Eligible members are known from gossip, not from health endpoints.',
};

/** Reasons why a fault cannot affect an operation. */
export const operationReasons: Readonly<Partial<Record<Operation, Reasons>>> = {
  publish: publisherReasons,
  grant: publisherReasons,
  withdraw: publisherReasons,
  'acquire lease': leaseReasons,
  'renew lease': leaseReasons,
  'hand over': leaseReasons,
  announce: {
    'store slow': 'State changes are gossiped between nodes; only zone contacts use the store.',
    'key withdrawn': 'Announcements carry no key of an account.',
    'store response lost': 'An announcement writes nothing to the store.',
    'lease lapsed in a pause': 'An announcement needs no lease.',
    'conflicting publications': 'An announcement does not depend on the configuration.',
    'misleading health': 'The upstream announces its own state; no health endpoint is read.',
  },
};
