import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';

import type { ManagedProcess } from './ManagedProcess';

/**
 * Starts one of the bundled programs.
 *
 * @param name - Name of the process in log lines and messages.
 * @param program - File name in dist/.
 * @param programArguments - Command-line arguments.
 * @param onLine - Called with each line that the process writes to stderr.
 * @returns The running process.
 */
export function startProcess(
  name: string,
  program: string,
  programArguments: readonly string[],
  onLine: (line: string) => void,
): ManagedProcess {
  const child = spawn(process.execPath, [`dist/${program}`, ...programArguments], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const ended = once(child, 'exit');
  createInterface({ input: child.stderr }).on('line', (line) => onLine(`${name}: ${line}`));
  const listening = new Promise<string>((resolve, reject) => {
    createInterface({ input: child.stdout }).on('line', (line) => {
      const message = JSON.parse(line) as { readonly listening?: string };
      if (message.listening) resolve(message.listening);
    });
    child.once('exit', (code) =>
      reject(new Error(`${name} exited with code ${code} before it listened`)),
    );
  });
  // Avoids an unhandled rejection when a program that never prints its address exits.
  listening.catch(() => undefined);
  return {
    name,
    listening,
    stop: async () => {
      child.kill('SIGTERM');
      await ended;
      return child.exitCode ?? undefined;
    },
    kill: () => {
      child.kill('SIGKILL');
    },
    pause: () => {
      child.kill('SIGSTOP');
    },
    resume: () => {
      child.kill('SIGCONT');
    },
  };
}
