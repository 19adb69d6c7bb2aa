import type { ConfigurationHead } from './ConfigurationHead';
import type { PartReference } from './PartReference';

/**
 * @param head - Head of a revision.
 * @returns References to all parts of the revision.
 * @internal
 */
export function listParts(head: ConfigurationHead): readonly PartReference[] {
  return [head.manifest, ...head.keys];
}
