/**
 * Options of a listing.
 *
 * @public
 */
export interface StoreListOptions {
  /**
   * Whether the listing may be some seconds old. Such reads are cheaper for the store; the revision of the listing shows
   * its age. A store without such reads ignores the option.
   */
  readonly mayBeStale?: boolean;
}
