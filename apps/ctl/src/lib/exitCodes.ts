/**
 * Exit codes of buckthornslipctl.
 *
 * @public
 */
export const exitCodes = {
  ok: 0,
  /** The command line or the input is invalid; nothing was changed. */
  invalid: 1,
  /** A concurrent publication came first; nothing was changed. */
  conflict: 2,
  /** The store or a node does not respond, or the outcome of a write is unknown. */
  unknown: 3,
  /** The store has accepted the revision, but it is not confirmed to be in effect on all nodes. */
  notConfirmed: 4,
} as const;
