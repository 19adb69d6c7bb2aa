import type { Result } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';
import { readFleetSecret } from '@buckthornslip/config';
import { createPublisher } from '@buckthornslip/distribution';

import type { CommandDefinition } from './commands/CommandDefinition';
import type { CtlArguments } from './commands/CtlArguments';
import { createStoreClient } from './environment/createStoreClient';
import type { CtlEnvironment } from './environment/CtlEnvironment';
import { exitCodes } from './exitCodes';
import type { CommandOutcome } from './output/CommandOutcome';

function invalid(message: string): CommandOutcome {
  return { exitCode: exitCodes.invalid, lines: [message], json: { status: 'invalid', message } };
}

async function readSecret(
  file: string | undefined,
  environment: CtlEnvironment,
): Promise<Result<string, string>> {
  const content = file === undefined ? undefined : await environment.readFile(file).catch(() => '');
  const sources = file === undefined ? {} : { fleet_secret_file: file };
  const secret = readFleetSecret(sources, environment.variables, () => content ?? '');
  if (secret.ok) return success(secret.value);
  return failure(secret.error.map(({ path, message }) => `${path}: ${message}`).join('; '));
}

/**
 * Creates the clients that a command needs, runs the command and closes the clients.
 *
 * @param command - Command to run.
 * @param options - Its arguments.
 * @param environment - Environment of the process.
 * @returns The outcome.
 * @internal
 */
export async function runCommand(
  command: CommandDefinition,
  options: CtlArguments,
  environment: CtlEnvironment,
): Promise<CommandOutcome> {
  const hasStore = options.store.length > 0;
  if (command.needsStore && !hasStore) return invalid('--store is required');
  const secret = command.needsSecret
    ? await readSecret(options.fleetSecretFile, environment)
    : success('');
  if (!secret.ok) return invalid(secret.error);
  const { clock } = environment;
  const client = hasStore ? environment.createStore(options.store) : createStoreClient([]);
  const nodes = environment.createNodes(secret.value);
  const publisher = createPublisher(client.store, { clock, fleetSecret: secret.value });
  const store = hasStore ? client.store : undefined;
  try {
    return await command.run({ environment, arguments: options, store, publisher, nodes });
  } finally {
    nodes.close();
    client.close();
  }
}
