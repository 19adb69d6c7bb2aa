/**
 * One node's budget of the link between two regions.
 *
 * @public
 */
export interface LinkBudgetSettings {
  readonly bytesPerSecond: number;
  /** Maximum burst after an idle time. */
  readonly burstBytes: number;
  /**
   * Size above which a body counts as large, in bytes. Calls with a large body cross only while the budget is nearly
   * unused.
   */
  readonly largeBodyBytes: number;
}
