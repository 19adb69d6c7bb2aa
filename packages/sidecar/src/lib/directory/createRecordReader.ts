import type { Clock, HostId, ZoneId } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';
import type { Store } from '@buckthornslip/platform';
import type { EventLogger } from '@buckthornslip/telemetry';

import { directoryTimes } from './directoryTimes';
import { decodeRecord } from './memberRecord';
import type { StorePosition } from './StorePosition';

const RECORD_PREFIX = 'buckthornslip/nodes/';

/** Reads of one request that may return a state older than this node's own record. */
const MAXIMUM_READS = 4;

/** Records of the store at one revision. */
export interface RecordListing {
  readonly members: readonly Member[];
  readonly hosts: ReadonlySet<HostId>;
  readonly revision: number;
}

/**
 * Reads the records of nodes from the store.
 *
 * @internal
 */
export interface RecordReader {
  /**
   * @param zone - Zone whose records are read; undefined for all zones.
   * @param minimum - Oldest acceptable position of the store; undefined accepts any. A later era than that of the position is
   *   acceptable at any revision.
   * @returns The records, or undefined if they can't be read.
   */
  readonly read: (
    zone: ZoneId | undefined,
    minimum?: StorePosition,
  ) => Promise<RecordListing | undefined>;
}

/** Dependencies of the reader. */
interface RecordReaderOptions {
  readonly clock: Clock;
  readonly store: Store;
  readonly logger: EventLogger;
}

/**
 * @param member - A node.
 * @returns Key of its record. The zone comes first, so that a node can read the records of its own zone.
 * @internal
 */
export function recordKey({ host, zone }: Pick<Member, 'host' | 'zone'>): string {
  return `${RECORD_PREFIX}${zone}/${host}`;
}

function isRecent({ era, revision }: StorePosition, minimum: StorePosition | undefined): boolean {
  if (minimum === undefined || era > minimum.era) return true;
  return era === minimum.era && revision >= minimum.revision;
}

/**
 * Creates the reader. It accepts stale reads, which are cheaper, and repeats a read that is older than required.
 *
 * @param options - Clock, store and logger.
 * @returns The reader.
 * @internal
 */
export function createRecordReader(options: RecordReaderOptions): RecordReader {
  const { clock, logger, store } = options;
  return {
    read: async (zone, minimum) => {
      const prefix = zone === undefined ? RECORD_PREFIX : `${RECORD_PREFIX}${zone}/`;
      for (let reads = 1; ; reads += 1) {
        const mayBeStale = reads < MAXIMUM_READS;
        const listing = await store.list(prefix, { mayBeStale });
        if (!listing.ok) return undefined;
        const { entries, revision } = listing.value;
        if (!mayBeStale || isRecent(listing.value, minimum)) {
          const members = entries.flatMap((entry) => {
            const member = decodeRecord(entry.value);
            // Another writer may have copied a record to another key.
            if (member && recordKey(member) === entry.key) return [member];
            logger.log('recordRejected', { key: entry.key, revision: entry.revision });
            return [];
          });
          return { members, hosts: new Set(members.map(({ host }) => host)), revision };
        }
        await clock.sleep(directoryTimes.staleReadDelay);
      }
    },
  };
}
