/**
 * Number of groups into which accounts are divided. Each group is one partition in each region.
 *
 * @public
 */
export const GROUPS_PER_REGION = 4;
