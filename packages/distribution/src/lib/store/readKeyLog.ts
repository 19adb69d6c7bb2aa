import type { Result } from '@buckthornslip/common';
import { success } from '@buckthornslip/common';

import type { KeyRecord } from '../configuration/KeyRecord';
import { decodeKeyRecords } from '../keys/keyRecordsCodec';
import type { ConfigurationHead } from '../revision/ConfigurationHead';
import type { RevisionError } from '../revision/RevisionError';
import type { ConfigurationStore } from './ConfigurationStore';
import type { ConfigurationStoreError } from './ConfigurationStoreError';
import { readContent } from './readContent';

/**
 * @param store - The platform's store.
 * @param head - Head of a revision.
 * @returns The records of each part of the key log, oldest first.
 * @internal
 */
export async function readKeyLog(
  store: ConfigurationStore,
  head: ConfigurationHead,
): Promise<Result<readonly (readonly KeyRecord[])[], ConfigurationStoreError | RevisionError>> {
  const log: (readonly KeyRecord[])[] = [];
  for (const part of head.keys) {
    const content = await readContent(store, part);
    if (!content.ok) return content;
    const records = decodeKeyRecords(content.value, part.digest);
    if (!records.ok) return records;
    log.push(records.value);
  }
  return success(log);
}
