import { readFileSync } from 'node:fs';
import { readFile } from 'node:fs/promises';

import { createSeededRandom, createSystemClock } from '@buckthornslip/common';
import type { NodeSettings } from '@buckthornslip/config';
import { parseNodeSettings } from '@buckthornslip/config';
import { createAccountGrouping } from '@buckthornslip/limits';
import { createStoreClient } from '@buckthornslip/platform';
import { createEventLogger, createMetrics } from '@buckthornslip/telemetry';

import { createNode } from './createNode';

/** Exit code for invalid settings. */
const INVALID_SETTINGS_EXIT_CODE = 1;

/** Exit code when the graceful shutdown exceeded its time limit. */
const STOP_LIMIT_EXIT_CODE = 2;

/**
 * Reads a settings file and prints every error in it to standard error.
 *
 * @param path - Path of the TOML file.
 * @returns The settings, or undefined if they are invalid.
 * @internal
 */
export async function readSettings(path: string): Promise<NodeSettings | undefined> {
  const text = await readFile(path, 'utf8');
  // A synchronous read is acceptable here, because nothing else runs before the settings are loaded.
  // eslint-disable-next-line n/no-sync
  const readSecret = (file: string): string => readFileSync(file, 'utf8');
  const result = parseNodeSettings(text, process.env, readSecret);
  if (result.ok) return result.value;
  for (const fault of result.error) process.stderr.write(`${fault.path}: ${fault.message}\n`);
  return undefined;
}

/**
 * Runs a node until SIGTERM or SIGINT.
 *
 * @param path - Path of the settings file.
 * @internal
 */
export async function runNode(path: string): Promise<void> {
  const settings = await readSettings(path);
  if (!settings) {
    process.exitCode = INVALID_SETTINGS_EXIT_CODE;
    return;
  }
  const clock = createSystemClock();
  const logger = createEventLogger({ name: 'buckthornslip-node', level: settings.logLevel });
  const store = createStoreClient({ endpoints: settings.storeEndpoints, clock, logger });
  const random = createSeededRandom(process.pid + clock.wallMilliseconds());
  const metrics = createMetrics();
  const grouping = await createAccountGrouping();
  const node = createNode({ settings, clock, random, store, grouping, logger, metrics });

  let isStopping = false;
  const stop = async (): Promise<void> => {
    // Further signals are ignored, so that they don't interrupt calls in progress.
    if (isStopping) return;
    isStopping = true;
    setTimeout(() => {
      logger.log('stopLimitReached', { limitMilliseconds: settings.stopLimitMilliseconds });
      // Calls that never end would keep the process alive.
      // eslint-disable-next-line n/no-process-exit
      process.exit(STOP_LIMIT_EXIT_CODE);
    }, settings.stopLimitMilliseconds).unref();
    await node.stop();
    // Idle connections of libraries may keep the process alive after the shutdown.
    // eslint-disable-next-line n/no-process-exit
    process.exit(0);
  };
  process.on('SIGTERM', () => {
    void stop();
  });
  process.on('SIGINT', () => {
    void stop();
  });
  await node.start();
}
