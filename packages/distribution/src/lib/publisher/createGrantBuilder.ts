import { failure, success } from '@buckthornslip/common';
import { parseManifest } from '@buckthornslip/config';

import type { KeyRecord } from '../configuration/KeyRecord';
import { decodeKeyRecords } from '../keys/keyRecordsCodec';
import type { ConfigurationStore } from '../store/ConfigurationStore';
import { readContent } from '../store/readContent';
import { appendKeyRecord } from './appendKeyRecord';
import type { DraftBuilder } from './DraftBuilder';
import { toReadRefusal } from './toReadRefusal';

/**
 * @param store - The platform's store.
 * @param record - Record of the new key.
 * @returns A builder that appends the record if its account is in the current manifest.
 * @internal
 */
export function createGrantBuilder(store: ConfigurationStore, record: KeyRecord): DraftBuilder {
  return async (current, copy) => {
    if (current === undefined) return failure({ kind: 'manifest-missing' });
    const { head } = current;
    const content = await readContent(store, head.manifest);
    if (!content.ok) return failure(toReadRefusal(content.error));
    const manifest = parseManifest(content.value.toString('utf8'));
    if (!manifest.ok) return failure({ kind: 'manifest-invalid', faults: manifest.error });
    const isKnown = manifest.value.accounts.has(record.account);
    if (!isKnown) return failure({ kind: 'account-unknown' });
    const [last] = head.keys.slice(-1);
    if (last === undefined) return success(appendKeyRecord(head, [], record, copy));
    const lastContent = await readContent(store, last);
    if (!lastContent.ok) return failure(toReadRefusal(lastContent.error));
    const lastRecords = decodeKeyRecords(lastContent.value, last.digest);
    if (!lastRecords.ok) return failure(toReadRefusal(lastRecords.error));
    return success(appendKeyRecord(head, lastRecords.value, record, copy));
  };
}
