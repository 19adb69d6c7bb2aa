import type { exitCodes } from './exitCodes';

/**
 * An exit code of buckthornslipctl.
 *
 * @public
 */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
