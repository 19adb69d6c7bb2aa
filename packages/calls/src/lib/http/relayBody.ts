import type { Readable, Writable } from 'node:stream';

import type { Clock } from '@buckthornslip/common';

import { createIdleTimer } from './createIdleTimer';

/**
 * The way in which relaying a body ended.
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
  /** Idle timeout while the sink accepts data, in milliseconds. */
  readonly idleTimeoutMilliseconds: number;
  /** Maximum length, in bytes. */
  readonly limitBytes?: number;
  /** Called when the sink applies back-pressure (true) and when it accepts data again (false). */
  readonly onBlocked?: (isBlocked: boolean) => void;
}

/**
 * Pipes a body from a source to a sink with back-pressure. The sink is ended only after the complete body has passed.
 * In all other cases the caller has to destroy both streams.
 *
 * @param clock - Source of time.
 * @param source - Stream to read the body from.
 * @param sink - Stream to write the body to.
 * @param limits - Limits of size and idle time.
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
    // The close events that follow are handled. Errors without a listener would crash the process.
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
