import type { Result } from '@buckthornslip/common';

import type { StoredHead } from '../store/readHead';
import type { Draft } from './Draft';
import type { PublicationRefusal } from './PublicationRefusal';

/**
 * Builds the draft of the next revision from the current head. Returns undefined if the change is already in effect.
 *
 * @internal
 */
export type DraftBuilder = (
  current: StoredHead | undefined,
  copy: string,
) => Promise<Result<Draft | undefined, PublicationRefusal>>;
