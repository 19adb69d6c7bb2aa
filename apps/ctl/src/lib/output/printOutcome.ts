import type { CtlEnvironment } from '../environment/CtlEnvironment';
import { exitCodes } from '../exitCodes';
import type { CommandOutcome } from './CommandOutcome';

/**
 * @param outcome - Result of the command.
 * @param isJson - Whether to print JSON.
 * @param environment - Environment with the output streams.
 * @internal
 */
export function printOutcome(
  outcome: CommandOutcome,
  isJson: boolean,
  environment: CtlEnvironment,
): void {
  const { exitCode, json, lines } = outcome;
  if (isJson) {
    environment.write(JSON.stringify({ exitCode, ...json }));
    return;
  }
  const isAccepted = exitCode === exitCodes.ok || exitCode === exitCodes.notConfirmed;
  lines.forEach(isAccepted ? environment.write : environment.writeError);
}
