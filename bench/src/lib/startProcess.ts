import { fork } from 'node:child_process';

import type { Command, Reply } from './Command';

/**
 * Child process of a benchmark.
 *
 * @internal
 */
export interface BenchProcess {
  readonly send: (command: Command) => Promise<Reply>;
  readonly stop: () => Promise<void>;
}

/**
 * Starts a child process of a benchmark.
 *
 * @param script - URL of its bundled script.
 * @param profileDirectory - Directory in which the process writes a CPU profile; no profile if omitted.
 * @returns The process, which handles one command at a time.
 * @internal
 */
export function startProcess(script: URL, profileDirectory?: string): BenchProcess {
  const profile =
    profileDirectory === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${profileDirectory}`];
  const child = fork(script, [], { execArgv: profile });
  return {
    send: (command) =>
      new Promise((resolve, reject) => {
        child.once('message', (reply) => resolve(reply as Reply));
        child.once('exit', (code) =>
          reject(new Error(`benchmark process exited with code ${code}`)),
        );
        child.send(command);
      }),
    stop: () =>
      new Promise((resolve) => {
        child.removeAllListeners('exit');
        child.once('exit', () => resolve());
        child.disconnect();
      }),
  };
}
