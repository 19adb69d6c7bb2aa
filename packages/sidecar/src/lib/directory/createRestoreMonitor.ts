import type { Clock } from '@buckthornslip/common';
import type { StoreEra } from '@buckthornslip/platform';
import { NO_STORE_ERA } from '@buckthornslip/platform';
import type { EventLogger } from '@buckthornslip/telemetry';

/**
 * Notices that the store was restored from a backup.
 *
 * @internal
 */
export interface RestoreMonitor {
  /** Takes the era in which this node's record was written. The first one is where the monitor begins. */
  readonly begin: (era: StoreEra) => void;
  /** Takes the highest era that the store has stated to this node. */
  readonly observe: (era: StoreEra) => void;
  /**
   * Takes the era that another node states. A wrong one causes no more than one reaction, and does not hide a later restore that
   * the store itself states.
   */
  readonly hear: (era: StoreEra, host: string) => void;
  /**
   * @returns Time since the store was last restored, as far as this node can tell, in milliseconds; Infinity if it never was. If it
   *   was restored before this node started, that may have been just before.
   */
  readonly sinceMilliseconds: () => number;
}

/** Dependencies of the monitor. */
interface RestoreMonitorOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  /** Called once for each new era. */
  readonly onRestored: (era: StoreEra) => void;
}

/**
 * Creates the monitor.
 *
 * @param options - Clock, logger, and the function that is called for each new era.
 * @returns The monitor; it ignores eras until it begins, since a node that starts after a restore has nothing to repair.
 * @internal
 */
export function createRestoreMonitor(options: RestoreMonitorOptions): RestoreMonitor {
  const { clock, logger, onRestored } = options;
  /** Highest era that the store itself has stated. */
  let stated: StoreEra | undefined;
  let heard = NO_STORE_ERA;
  let reported = NO_STORE_ERA;
  let restoredMilliseconds = -Infinity;

  const report = (era: StoreEra, source: string): void => {
    reported = era;
    restoredMilliseconds = clock.monotonicMilliseconds();
    logger.log('storeRestored', { era, previous: stated, source });
    onRestored(era);
  };

  const observe: RestoreMonitor['observe'] = (era) => {
    if (stated === undefined || era <= stated) return;
    if (era !== reported) report(era, 'store');
    stated = era;
  };

  return {
    begin: (era) => {
      if (stated === undefined && era !== NO_STORE_ERA) {
        restoredMilliseconds = clock.monotonicMilliseconds();
      }
      stated ??= era;
      observe(era);
    },
    observe,
    hear: (era, host) => {
      if (stated === undefined || era <= Math.max(stated, heard)) return;
      heard = era;
      report(era, host);
    },
    sinceMilliseconds: () => clock.monotonicMilliseconds() - restoredMilliseconds,
  };
}
