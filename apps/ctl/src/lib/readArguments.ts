import type { CtlArguments } from './commands/CtlArguments';

function listOf(value: unknown): readonly string[] {
  const items = Array.isArray(value) ? value : [value];
  return items.flatMap((item) =>
    typeof item === 'string' ? item.split(',').filter((part) => part !== '') : [],
  );
}

function textOf(value: unknown): string {
  return typeof value === 'string' ? value : '';
}

/**
 * @param parsed - Arguments as yargs parsed them.
 * @returns The arguments with their types.
 * @internal
 */
export function readArguments(parsed: Readonly<Record<string, unknown>>): CtlArguments {
  const { requireRevision, fleetSecretFile, waitMilliseconds } = parsed;
  return {
    file: textOf(parsed.file),
    account: textOf(parsed.account),
    keyId: textOf(parsed.keyId),
    requireRevision: typeof requireRevision === 'number' ? requireRevision : undefined,
    store: listOf(parsed.store),
    nodes: listOf(parsed.nodes),
    fleetSecretFile: typeof fleetSecretFile === 'string' ? fleetSecretFile : undefined,
    waitMilliseconds: Number(waitMilliseconds),
    json: parsed.json === true,
  };
}
