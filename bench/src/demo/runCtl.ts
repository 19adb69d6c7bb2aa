import { execFile } from 'node:child_process';
import { promisify } from 'node:util';

const runFile = promisify(execFile);

/**
 * Runs `buckthornslipctl` with JSON output.
 *
 * @param ctlArguments - Command and options.
 * @returns Parsed output.
 */
export async function runCtl(ctlArguments: readonly string[]): Promise<Record<string, unknown>> {
  const { stdout } = await runFile(process.execPath, [
    'dist/buckthornslipctl.mjs',
    ...ctlArguments,
    '--json',
  ]);
  return JSON.parse(stdout) as Record<string, unknown>;
}
