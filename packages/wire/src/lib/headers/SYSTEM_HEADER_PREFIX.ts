/**
 * Prefix of the system's own headers. Headers with this prefix that come from outside are not forwarded.
 *
 * @public
 */
export const SYSTEM_HEADER_PREFIX = 'buckthornslip-';
