import type { Readable, Writable } from 'node:stream';

import type { Clock } from '@buckthornslip/common';

import { createIdleTimer } from './createIdleTimer';

/**
 * How a relayed body ended.
 *
 * @internal
 */
export type RelayEnd = 'complete' | 'source-failed' | 'source-silent' | 'sink-closed' | 'too-large';

/**
 * Limits of a relayed body.
 *
 * @internal
 */
export interface RelayLimits {
  /** Longest time without a byte while the sink takes bytes, in milliseconds. */
  readonly idleTimeoutMilliseconds: number;
  /** Largest length, in bytes. */
  readonly limitBytes?: number;
  /** Called when the sink takes no more bytes (true) and when it takes bytes again (false). */
  readonly onBlocked?: (isBlocked: boolean) => void;
}

/**
 * Moves a body from a source to a sink with back-pressure. The sink is ended only after the whole body has passed; in
 * all other cases both streams are left for the caller to destroy.
 *
 * @param clock - Source of time.
 * @param source - Where the body arrives.
 * @param sink - Where the body goes.
 * @param limits - Limits of time and size.
 * @returns How the relay ended.
 * @internal
 */
export function relayBody(
  clock: Clock,
  source: Readable,
  sink: Writable,
  limits: RelayLimits,
): Promise<RelayEnd> {
  return new Promise((resolve) => {
    let passed = 0;
    const idleTimer = createIdleTimer(clock, limits.idleTimeoutMilliseconds, () =>
      finish('source-silent'),
    );
    const onDrain = (): void => {
      idleTimer.reset();
      limits.onBlocked?.(false);
      source.resume();
    };
    const onData = (chunk: Buffer): void => {
      passed += chunk.length;
      if (passed > (limits.limitBytes ?? Infinity)) {
        finish('too-large');
        return;
      }
      if (sink.write(chunk)) {
        idleTimer.reset();
      } else {
        idleTimer.pause();
        source.pause();
        limits.onBlocked?.(true);
      }
    };
    const onEnd = (): void => {
      sink.end();
      finish('complete');
    };
    const onSourceClose = (): void => finish('source-failed');
    const onSinkClose = (): void => finish('sink-closed');
    const ignoreError = (): void => undefined;
    function finish(end: RelayEnd): void {
      idleTimer.stop();
      source.off('data', onData).off('end', onEnd).off('close', onSourceClose);
      sink.off('drain', onDrain).off('close', onSinkClose);
      if (end !== 'complete') source.pause();
      resolve(end);
    }
    // The close events that follow decide; errors without a listener would end the process.
    source.on('error', ignoreError);
    sink.on('error', ignoreError);
    if (source.destroyed && !source.readableEnded) {
      finish('source-failed');
      return;
    }
    if (sink.destroyed) {
      finish('sink-closed');
      return;
    }
    sink.on('drain', onDrain).on('close', onSinkClose);
    source.on('end', onEnd).on('close', onSourceClose).on('data', onData);
    source.resume();
  });
}
