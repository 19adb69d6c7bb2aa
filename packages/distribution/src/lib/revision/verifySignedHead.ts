import { timingSafeEqual } from 'node:crypto';

import type { Result } from '@buckthornslip/common';
import { failure } from '@buckthornslip/common';
import type { SignedHead } from '@buckthornslip/wire';

import type { ConfigurationHead } from './ConfigurationHead';
import { decodeHead } from './decodeHead';
import { headSignature } from './headSignature';
import type { RevisionError } from './RevisionError';

/**
 * @param signed - A signed head received from a peer.
 * @param fleetSecret - Secret shared by nodes and operators.
 * @returns The head, or an error if the signature is invalid.
 * @internal
 */
export function verifySignedHead(
  signed: SignedHead,
  fleetSecret: string,
): Result<ConfigurationHead, RevisionError> {
  const expected = headSignature(signed.head, fleetSecret);
  const isAuthentic =
    signed.signature.length === expected.length && timingSafeEqual(signed.signature, expected);
  return isAuthentic ? decodeHead(signed.head) : failure({ kind: 'signature-invalid' });
}
