import type { CommandOutcome } from '../output/CommandOutcome';
import type { CommandContext } from './CommandContext';

/**
 * A command of buckthornslipctl.
 *
 * @internal
 */
export interface CommandDefinition {
  /** Command group, for example "manifest"; empty for a top-level command. */
  readonly group: string;
  /** Name of the command in the group and its arguments, in the syntax of yargs. */
  readonly syntax: string;
  readonly description: string;
  readonly needsStore: boolean;
  readonly needsSecret: boolean;
  readonly run: (context: CommandContext) => Promise<CommandOutcome>;
}
