import type { Clock } from '@buckthornslip/common';

/**
 * Writes log lines in batches without blocking, and drops lines above a rate limit.
 *
 * @public
 */
export interface BoundedWriter {
  /** Writes a line, given without its line break. */
  readonly write: (line: string) => void;
  /** Sets a callback that gets the number of dropped lines, once lines are written again. */
  readonly onDropped: (report: (count: number) => void) => void;
  /** Writes the pending lines now. */
  readonly flush: () => void;
}

/** Time for which lines are batched before they are written, in milliseconds. */
const BATCH_MILLISECONDS = 500;

/** Sustained rate limit in lines per second; a line costs about 15 microseconds. */
const LINES_PER_SECOND = 400;

/** Burst limit: lines that may be written at once after a period with few lines. */
const BURST_LINES = 2_000;

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Creates a bounded writer.
 *
 * @param clock - Source of time.
 * @param output - Writes a batch of lines.
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
