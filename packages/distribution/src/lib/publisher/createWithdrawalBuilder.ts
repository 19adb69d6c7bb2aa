import type { KeyId } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';

import { foldKeyRecords } from '../keys/foldKeyRecords';
import type { ConfigurationStore } from '../store/ConfigurationStore';
import { readKeyLog } from '../store/readKeyLog';
import { appendKeyRecord } from './appendKeyRecord';
import type { DraftBuilder } from './DraftBuilder';
import { toReadRefusal } from './toReadRefusal';

/**
 * Reads only the key log, so that a key can be withdrawn even if the current manifest cannot be read.
 *
 * @param store - The platform's store.
 * @param keyId - Key to withdraw.
 * @returns A builder that withdraws the key permanently.
 * @internal
 */
export function createWithdrawalBuilder(store: ConfigurationStore, keyId: KeyId): DraftBuilder {
  return async (current, copy) => {
    if (current === undefined) return failure({ kind: 'key-unknown' });
    const log = await readKeyLog(store, current.head);
    if (!log.ok) return failure(toReadRefusal(log.error));
    const record = [...foldKeyRecords(log.value.flat()).values()].find(({ id }) => id === keyId);
    if (record === undefined) return failure({ kind: 'key-unknown' });
    if (record.state === 'withdrawn') return success(undefined);
    const tombstone = { ...record, state: 'withdrawn' as const };
    const [lastRecords = []] = log.value.slice(-1);
    return success(appendKeyRecord(current.head, lastRecords, tombstone, copy));
  };
}
