import type { Clock } from '@buckthornslip/common';

/**
 * Writes log lines without ever blocking, and bounds their volume.
 *
 * @public
 */
export interface BoundedWriter {
  /** Takes one line, without its line end. */
  readonly write: (line: string) => void;
  /** Tells how many lines were dropped, once the volume allows it again. */
  readonly onDropped: (report: (count: number) => void) => void;
  /** Hands over what is pending. */
  readonly flush: () => void;
}

/** Time for which lines are gathered before they are written together, in milliseconds. */
const BATCH_MILLISECONDS = 500;

/** Most lines a second that are written in the long run; a line costs about 15 microseconds. */
const LINES_PER_SECOND = 400;

/** Lines that may be written at once after a quiet time. */
const BURST_LINES = 2_000;

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Creates a bounded writer.
 *
 * @param clock - Source of time.
 * @param output - Takes several lines at once.
 * @returns The writer.
 * @public
 */
export function createBoundedWriter(clock: Clock, output: (text: string) => void): BoundedWriter {
  let pending: string[] = [];
  let tokens = BURST_LINES;
  let updatedMilliseconds = clock.monotonicMilliseconds();
  let dropped = 0;
  let isScheduled = false;
  let reportDropped: ((count: number) => void) | undefined;

  const refill = (): void => {
    const now = clock.monotonicMilliseconds();
    const refilled = ((now - updatedMilliseconds) / MILLISECONDS_PER_SECOND) * LINES_PER_SECOND;
    tokens = Math.min(BURST_LINES, tokens + refilled);
    updatedMilliseconds = now;
  };

  const flush = (): void => {
    isScheduled = false;
    if (pending.length === 0) return;
    const text = `${pending.join('\n')}\n`;
    pending = [];
    output(text);
  };

  const enqueue = (line: string): void => {
    tokens -= 1;
    pending.push(line);
    if (isScheduled) return;
    isScheduled = true;
    clock.setTimer(BATCH_MILLISECONDS, flush);
  };

  return {
    write: (line) => {
      refill();
      if (tokens < 1) {
        dropped += 1;
        return;
      }
      if (dropped > 0) {
        const count = dropped;
        dropped = 0;
        reportDropped?.(count);
      }
      enqueue(line);
    },
    onDropped: (report) => {
      reportDropped = report;
    },
    flush,
  };
}
