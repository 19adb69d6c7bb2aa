import type { Argv } from 'yargs';
import yargs from 'yargs';

import type { CommandDefinition } from './commands/CommandDefinition';
import { commandTable } from './commands/commandTable';
import type { CtlEnvironment } from './environment/CtlEnvironment';
import type { ExitCode } from './ExitCode';
import { exitCodes } from './exitCodes';
import { printOutcome } from './output/printOutcome';
import { readArguments } from './readArguments';
import { runCommand } from './runCommand';

/** Default time to wait for a revision to take effect, in milliseconds. It leaves a margin over the target of 6 s. */
const DEFAULT_WAIT_MILLISECONDS = 10_000;

const EXIT_CODE_HELP = `Exit codes:
  0  done
  1  the command line or the input is not valid; nothing was changed
  2  another publication came first; nothing was changed
  3  the store or a node does not answer, or the outcome of a write is not known
  4  accepted, but not confirmed to be in force everywhere`;

/** Receives the selected command and its parsed arguments. */
type SelectCommand = (
  command: CommandDefinition,
  parsed: Readonly<Record<string, unknown>>,
) => void;

function addCommands(parser: Argv, group: string, select: SelectCommand): Argv {
  const commands = commandTable.filter((command) => command.group === group);
  return commands.reduce(
    (current, command) =>
      current.command(
        command.syntax,
        command.description,
        (builder) =>
          command.syntax.startsWith('publish')
            ? builder.option('require-revision', {
                type: 'number',
                describe: 'Publish only if this is the current revision',
              })
            : builder,
        (parsed) => select(command, parsed),
      ),
    parser,
  );
}

function checkNumbers(parsed: Readonly<Record<string, unknown>>): true {
  for (const name of ['require-revision', 'wait-milliseconds']) {
    const value = parsed[name];
    const isValid = value === undefined || (Number.isInteger(value) && Number(value) >= 0);
    if (!isValid) throw new Error(`--${name} must be a whole number, 0 or greater`);
  }
  return true;
}

function createParser(select: SelectCommand): Argv {
  const parser = yargs()
    .scriptName('buckthornslipctl')
    .version('0.1.0')
    // Options with several values must not consume the positional arguments after them.
    .parserConfiguration({ 'parse-positional-numbers': false, 'greedy-arrays': false })
    .option('store', { type: 'string', array: true, describe: 'Addresses of the store' })
    .option('nodes', { type: 'string', array: true, describe: 'Control addresses of nodes' })
    .option('fleet-secret-file', {
      type: 'string',
      describe: 'File with the fleet secret; otherwise BUCKTHORNSLIP_FLEET_SECRET holds it',
    })
    .option('wait-milliseconds', {
      type: 'number',
      default: DEFAULT_WAIT_MILLISECONDS,
      describe: 'Longest wait for a revision to be in force',
    })
    .option('json', { type: 'boolean', default: false, describe: 'Print JSON' })
    .command('manifest', 'Check, publish and compare manifests', (builder) =>
      addCommands(builder, 'manifest', select).demandCommand(1, 'name a manifest command'),
    )
    .command('key', 'Grant, withdraw and list keys', (builder) =>
      addCommands(builder, 'key', select).demandCommand(1, 'name a key command'),
    );
  return addCommands(parser, '', select)
    .demandCommand(1, 'name a command')
    .strict()
    .help()
    .epilogue(EXIT_CODE_HELP)
    .check(checkNumbers)
    .exitProcess(false);
}

/**
 * Runs one command line.
 *
 * @param commandLine - Arguments of the process.
 * @param environment - Environment of the process.
 * @returns The exit code.
 * @internal
 */
export async function runCtl(
  commandLine: readonly string[],
  environment: CtlEnvironment,
): Promise<ExitCode> {
  let selected: Parameters<SelectCommand> | undefined;
  let usageError: string | undefined;
  const parser = createParser((...selection) => {
    selected = selection;
  }).fail((message, error) => {
    usageError = message || error.message;
  });
  await parser.parseAsync([...commandLine], {}, (_error, _parsed, output) => {
    if (output !== '') environment.write(output);
  });
  if (usageError !== undefined) {
    environment.writeError(`${usageError} (see --help)`);
    return exitCodes.invalid;
  }
  if (selected === undefined) return exitCodes.ok;
  const [command, parsed] = selected;
  const options = readArguments(parsed);
  const outcome = await runCommand(command, options, environment);
  printOutcome(outcome, options.json, environment);
  return outcome.exitCode;
}
