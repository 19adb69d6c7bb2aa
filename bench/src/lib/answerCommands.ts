import type { Command, Reply } from './Command';

/**
 * Handles the commands that the benchmark sends to this process, until the benchmark disconnects.
 *
 * @param handle - Runs a command and returns the reply.
 * @internal
 */
export function answerCommands(handle: (command: Command) => Promise<Reply>): void {
  process.on('message', (command: Command) => {
    void handle(command).then((reply) => process.send?.(reply));
  });
  process.once('disconnect', () => {
    // eslint-disable-next-line n/no-process-exit -- open listeners would keep the process alive
    process.exit(0);
  });
}
