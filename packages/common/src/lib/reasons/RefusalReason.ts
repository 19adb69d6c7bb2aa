import type { refusalCatalogue } from './refusalCatalogue';

/**
 * Reason code of a refusal, as it appears in responses, metrics and logs.
 *
 * @public
 */
export type RefusalReason = keyof typeof refusalCatalogue;
