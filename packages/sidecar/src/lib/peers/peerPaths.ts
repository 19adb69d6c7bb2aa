/** Paths of messages between nodes. */
export const peerPaths = {
  directory: '/buckthornslip/directory',
  policy: '/buckthornslip/policy',
} as const;
