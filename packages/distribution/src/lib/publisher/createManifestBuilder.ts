import { failure, success } from '@buckthornslip/common';
import { parseManifest } from '@buckthornslip/config';

import type { DraftBuilder } from './DraftBuilder';
import { createNewPart } from './createNewPart';

/**
 * @param tomlText - The new manifest.
 * @returns A builder that replaces the current manifest.
 * @internal
 */
export function createManifestBuilder(tomlText: string): DraftBuilder {
  return (current, copy) => {
    const parsed = parseManifest(tomlText);
    if (!parsed.ok) {
      return Promise.resolve(failure({ kind: 'manifest-invalid', faults: parsed.error }));
    }
    const part = createNewPart('manifest', Buffer.from(tomlText), copy);
    const isUnchanged = current?.head.manifest.digest === part.reference.digest;
    if (isUnchanged) return Promise.resolve(success(undefined));
    const keys = current?.head.keys ?? [];
    return Promise.resolve(success({ manifest: part.reference, keys, newParts: [part] }));
  };
}
