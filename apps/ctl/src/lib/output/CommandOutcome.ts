import type { ExitCode } from '../ExitCode';

/**
 * Result of a command, as text and as JSON.
 *
 * @internal
 */
export interface CommandOutcome {
  readonly exitCode: ExitCode;
  /** Lines printed without `--json`; to standard error if the command failed. */
  readonly lines: readonly string[];
  /** Object printed with `--json`, together with the exit code. */
  readonly json: Readonly<Record<string, unknown>>;
}
