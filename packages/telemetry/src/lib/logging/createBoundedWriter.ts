import type { Clock } from '@buckthornslip/common';

/**
 * Writes log lines in batches without blocking, and drops lines above a rate limit.
 *
 * @public
 */
export interface BoundedWriter {
  /**
   * Writes a line, given without its line break.
   *
   * @param isPerCall - Whether the line is about a call. Such lines have a limit of their own, so that they can't displace
   *   the others under load.
   */
  readonly write: (line: string, isPerCall: boolean) => void;
  /** Sets a callback that gets the number of dropped lines, once lines are written again. */
  readonly onDropped: (report: (count: number) => void) => void;
  /** Writes the pending lines now. */
  readonly flush: () => void;
}

/** Time for which lines are batched before they are written, in milliseconds. */
const BATCH_MILLISECONDS = 500;

/** Limit of one kind of line. */
interface LineLimit {
  /** Sustained rate, in lines per second. */
  readonly linesPerSecond: number;
  /** Lines that may be written at once after a period with few lines. */
  readonly burst: number;
}

/** A line costs about 15 microseconds. */
const CALL_LINES: LineLimit = { linesPerSecond: 400, burst: 2_000 };

const OTHER_LINES: LineLimit = { linesPerSecond: 100, burst: 1_000 };

const MILLISECONDS_PER_SECOND = 1_000;

/** @returns A function that takes one line from the budget, and returns whether there was one. */
function createLineBudget(clock: Clock, { burst, linesPerSecond }: LineLimit): () => boolean {
  let lines = burst;
  let updatedMilliseconds = clock.monotonicMilliseconds();
  return () => {
    const now = clock.monotonicMilliseconds();
    const elapsedSeconds = (now - updatedMilliseconds) / MILLISECONDS_PER_SECOND;
    lines = Math.min(burst, lines + elapsedSeconds * linesPerSecond);
    updatedMilliseconds = now;
    if (lines < 1) return false;
    lines -= 1;
    return true;
  };
}

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
  const callBudget = createLineBudget(clock, CALL_LINES);
  const otherBudget = createLineBudget(clock, OTHER_LINES);
  let dropped = 0;
  let isScheduled = false;
  let reportDropped: ((count: number) => void) | undefined;

  const flush = (): void => {
    isScheduled = false;
    if (pending.length === 0) return;
    const text = `${pending.join('\n')}\n`;
    pending = [];
    output(text);
  };

  const enqueue = (line: string): void => {
    pending.push(line);
    if (isScheduled) return;
    isScheduled = true;
    clock.setTimer(BATCH_MILLISECONDS, flush);
  };

  return {
    write: (line, isPerCall) => {
      const spend = isPerCall ? callBudget : otherBudget;
      if (!spend()) {
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
