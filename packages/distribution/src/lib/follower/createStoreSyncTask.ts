import type { FollowerOptions } from './FollowerOptions';
import { repeatUntilAborted } from './repeatUntilAborted';
import { watchHead } from './watchHead';

/**
 * Creates a task that polls and watches the store while this node is a zone contact.
 *
 * @param options - The follower's options.
 * @param poll - Reads the store; returns whether it answered.
 * @param pauseMilliseconds - Returns the delay until the next poll, in milliseconds.
 * @returns The task, which runs until its signal is aborted.
 * @internal
 */
export function createStoreSyncTask(
  options: FollowerOptions,
  poll: () => Promise<boolean>,
  pauseMilliseconds: () => number,
): (signal: AbortSignal) => Promise<void> {
  const { clock, logger } = options;
  let isAnswering = true;
  let watch: AbortController | undefined;

  const pollAndLog = async (): Promise<void> => {
    const answers = await poll();
    if (answers !== isAnswering) logger.log(answers ? 'storeFollowed' : 'storeNotFollowed');
    isAnswering = answers;
  };

  const pollAsContact = async (): Promise<void> => {
    if (options.isContact()) await pollAndLog();
    else watch?.abort();
  };

  const watchAsContact = async (): Promise<void> => {
    if (!options.isContact()) return;
    watch = new AbortController();
    await watchHead(options, watch.signal, () => {
      void pollAndLog();
    });
  };

  return async (signal) => {
    signal.addEventListener('abort', () => watch?.abort(), { once: true });
    await Promise.all([
      repeatUntilAborted(clock, pauseMilliseconds, signal, pollAsContact),
      repeatUntilAborted(clock, pauseMilliseconds, signal, watchAsContact),
    ]);
  };
}
