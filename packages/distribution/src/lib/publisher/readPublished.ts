import type { Result } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';

import { foldKeyRecords } from '../keys/foldKeyRecords';
import type { RevisionError } from '../revision/RevisionError';
import type { ConfigurationStore } from '../store/ConfigurationStore';
import type { ConfigurationStoreError } from '../store/ConfigurationStoreError';
import { readContent } from '../store/readContent';
import { readHead } from '../store/readHead';
import { readKeyLog } from '../store/readKeyLog';
import type { PublicationRefusal } from './PublicationRefusal';
import type { PublishedConfiguration } from './PublishedConfiguration';
import { toReadRefusal } from './toReadRefusal';

/** Attempts to read a revision; each may fail when a concurrent publication removes old parts. */
const MAXIMUM_ATTEMPTS = 3;

type ReadResult<Value> = Result<Value, ConfigurationStoreError | RevisionError>;

async function readOnce(
  store: ConfigurationStore,
): Promise<ReadResult<PublishedConfiguration | undefined>> {
  const current = await readHead(store);
  if (!current.ok) return current;
  if (current.value === undefined) return success(undefined);
  const { head } = current.value;
  const manifest = await readContent(store, head.manifest);
  if (!manifest.ok) return manifest;
  const log = await readKeyLog(store, head);
  if (!log.ok) return log;
  const keys = [...foldKeyRecords(log.value.flat()).values()];
  const manifestText = manifest.value.toString('utf8');
  return success({ revision: head.revision, manifestText, keys });
}

/**
 * @param store - The platform's store.
 * @returns The current revision, or undefined if nothing has been published yet.
 * @internal
 */
export async function readPublished(
  store: ConfigurationStore,
): Promise<Result<PublishedConfiguration | undefined, PublicationRefusal>> {
  for (let attempt = 1; ; attempt += 1) {
    const read = await readOnce(store);
    if (read.ok) return read;
    const isRetryable = read.error.kind === 'part-missing' && attempt < MAXIMUM_ATTEMPTS;
    if (!isRetryable) return failure(toReadRefusal(read.error));
  }
}
