import { BehaviorSubject, distinctUntilChanged } from 'rxjs';

import type { StoreFaults } from './StoreFaults';

/**
 * @returns Fault switches that are all off.
 * @public
 */
export function createStoreFaults(): StoreFaults {
  const down = new BehaviorSubject(false);
  let slowMilliseconds = 0;
  let responsesToLose = 0;
  return {
    setDown: (isDown) => down.next(isDown),
    isDown: () => down.value,
    downChanges: down.pipe(distinctUntilChanged()),
    setSlow: (milliseconds) => {
      slowMilliseconds = milliseconds;
    },
    slowMilliseconds: () => slowMilliseconds,
    loseWriteResponses: (count) => {
      responsesToLose = count;
    },
    takeLostResponse: () => {
      if (responsesToLose === 0) return false;
      responsesToLose -= 1;
      return true;
    },
  };
}
