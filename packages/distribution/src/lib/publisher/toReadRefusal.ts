import type { RevisionError } from '../revision/RevisionError';
import type { ConfigurationStoreError } from '../store/ConfigurationStoreError';
import type { PublicationRefusal } from './PublicationRefusal';

const REVISION_ERROR_KINDS: ReadonlySet<string> = new Set<RevisionError['kind']>([
  'head-malformed',
  'signature-invalid',
  'part-missing',
  'part-corrupt',
  'manifest-invalid',
]);

function isRevisionError(error: ConfigurationStoreError | RevisionError): error is RevisionError {
  return REVISION_ERROR_KINDS.has(error.kind);
}

/**
 * @param error - Error of reading the current revision.
 * @returns The corresponding refusal of the publication.
 * @internal
 */
export function toReadRefusal(error: ConfigurationStoreError | RevisionError): PublicationRefusal {
  return isRevisionError(error)
    ? { kind: 'revision-unreadable', error }
    : { kind: 'store-failed', reason: error.kind };
}
