import { HEAD_KEY } from '../revision/HEAD_KEY';
import type { FollowerOptions } from './FollowerOptions';

/**
 * Watches the head until the watch fails or is stopped. The watch only triggers earlier polls of the store, so a lost
 * event or watch delays a revision by at most one poll.
 *
 * @param options - The follower's options.
 * @param signal - Stops the watch.
 * @param onChange - Called after each change.
 * @internal
 */
export function watchHead(
  options: FollowerOptions,
  signal: AbortSignal,
  onChange: () => void,
): Promise<void> {
  return new Promise((resolve) => {
    const subscription = options.store.watch(HEAD_KEY, 0, signal).subscribe({
      next: onChange,
      error: () => resolve(),
      complete: resolve,
    });
    signal.addEventListener(
      'abort',
      () => {
        subscription.unsubscribe();
        resolve();
      },
      { once: true },
    );
  });
}
