/** Announcements from which the time of sending is estimated. */
const REMEMBERED = 8;

/** Estimates when the announcements of an upstream were sent, since they carry no time and may arrive seconds late. */
export interface SendTimeEstimate {
  /**
   * Records an announcement.
   *
   * @param sequence - Its sequence number.
   * @param arrivedMilliseconds - Time of its arrival, in milliseconds.
   * @returns Time at which it was sent at the latest, in milliseconds. It is too early if announcements were left out.
   */
  readonly record: (sequence: number, arrivedMilliseconds: number) => number;
}

/**
 * Creates the estimate for one start of an upstream. Announcements are sent at a fixed interval, so the one with the least
 * delay gives an upper bound for the times of the others.
 *
 * @param intervalMilliseconds - Interval between announcements, in milliseconds.
 * @returns An estimate that knows no announcement.
 * @internal
 */
export function createSendTimeEstimate(intervalMilliseconds: number): SendTimeEstimate {
  /** Arrival of each announcement, minus the time that its sequence number accounts for. */
  const offsets: number[] = [];
  let first: number | undefined;
  return {
    record: (sequence, arrivedMilliseconds) => {
      first ??= sequence;
      const sinceFirst = (sequence - first) * intervalMilliseconds;
      offsets.push(arrivedMilliseconds - sinceFirst);
      if (offsets.length > REMEMBERED) offsets.shift();
      return Math.min(...offsets) + sinceFirst;
    },
  };
}
