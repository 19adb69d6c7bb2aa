/**
 * What a node knows of the policy in the store, with the age of that knowledge.
 *
 * @internal
 */
export interface PolicyKnowledge {
  /** Revision of the newest policy; 0 if there is none. */
  readonly revision: number;
  /** Time since the store confirmed that no newer policy exists, in milliseconds; Infinity if that is not known. */
  readonly ageMilliseconds: number;
}
