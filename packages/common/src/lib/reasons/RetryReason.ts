import type { retryCatalogue } from './retryCatalogue';

/**
 * Reason code of a retry that was made or denied.
 *
 * @public
 */
export type RetryReason = keyof typeof retryCatalogue;
