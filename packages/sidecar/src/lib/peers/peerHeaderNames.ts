/** Headers between nodes. They never reach callers or upstreams. */
export const peerHeaderNames = {
  /** The call as the entry node sees it; its presence marks a forwarded call. */
  call: 'buckthornslip-call',
  /** How the attempt ended. */
  result: 'buckthornslip-result',
  /** Load of the serving node. */
  load: 'buckthornslip-load',
} as const;
