import type { Clock, TokenBucket } from '@buckthornslip/common';
import { createTokenBucket } from '@buckthornslip/common';

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

/** Bytes that the output has not taken above which lines are dropped: some seconds of lines at their limits. */
const MAXIMUM_WAITING_BYTES = 1_048_576;

/** @returns A full bucket of lines. */
const createLineBucket = (clock: Clock, { burst, linesPerSecond }: LineLimit): TokenBucket =>
  createTokenBucket(clock, () => ({ tokensPerSecond: linesPerSecond, capacity: burst }), burst);

/**
 * Creates a bounded writer.
 *
 * @param clock - Source of time.
 * @param output - Writes a batch of lines.
 * @param waitingBytes - Returns the bytes that the output has been given and has not written yet, which are none by default.
 * @returns The writer.
 * @public
 */
export function createBoundedWriter(
  clock: Clock,
  output: (text: string) => void,
  waitingBytes: () => number = () => 0,
): BoundedWriter {
  let pending: string[] = [];
  const callLines = createLineBucket(clock, CALL_LINES);
  const otherLines = createLineBucket(clock, OTHER_LINES);
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
      const lines = isPerCall ? callLines : otherLines;
      if (lines.available() < 1 || waitingBytes() > MAXIMUM_WAITING_BYTES) {
        dropped += 1;
        return;
      }
      lines.take(1);
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
