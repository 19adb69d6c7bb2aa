import type { Result } from '@buckthornslip/common';

import type { StoredHead } from '../store/readHead';
import type { Draft } from './Draft';
import type { PublicationRefusal } from './PublicationRefusal';

/**
 * Builds the next revision from the current one. It returns undefined if the current one already is as wanted.
 *
 * @internal
 */
export type DraftBuilder = (
  current: StoredHead | undefined,
  copy: string,
) => Promise<Result<Draft | undefined, PublicationRefusal>>;
