import type { PublicationRefusal } from '@buckthornslip/distribution';

import { exitCodes } from '../exitCodes';
import type { CommandOutcome } from '../output/CommandOutcome';
import { invalidManifest } from './invalidManifest';

type RefusalKind = PublicationRefusal['kind'];

const messages: Readonly<Record<RefusalKind, string>> = {
  'manifest-invalid': 'the published manifest is not valid for this version of ctl',
  'manifest-missing': 'no manifest has been published yet',
  'account-unknown': 'the account is not in the current manifest',
  'key-unknown': 'there is no key with this id',
  'store-failed': 'the store does not answer; nothing was changed',
  'revision-unreadable': 'the current revision in the store cannot be read; nothing was changed',
};

const inputErrors: ReadonlySet<RefusalKind> = new Set([
  'manifest-invalid',
  'manifest-missing',
  'account-unknown',
  'key-unknown',
]);

/**
 * @param refusal - Reason why nothing was published or read.
 * @returns The outcome that reports the refusal.
 * @internal
 */
export function refusalOutcome(refusal: PublicationRefusal): CommandOutcome {
  if (refusal.kind === 'manifest-invalid') return invalidManifest('manifest', refusal.faults);
  const message = messages[refusal.kind];
  const exitCode = inputErrors.has(refusal.kind) ? exitCodes.invalid : exitCodes.unknown;
  return { exitCode, lines: [message], json: { status: 'refused', message, refusal } };
}
