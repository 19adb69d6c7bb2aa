import { createHmac } from 'node:crypto';

/** Domain separation from other uses of the fleet secret. */
const SIGNATURE_DOMAIN = 'buckthornslip configuration head\n';

/**
 * @param headBytes - An encoded head.
 * @param fleetSecret - Secret shared by nodes and operators.
 * @returns HMAC-SHA-256 over the head. The head contains the digests of all parts, so the signature covers the whole
 *   revision.
 * @internal
 */
export function headSignature(headBytes: Uint8Array, fleetSecret: string): Buffer {
  return createHmac('sha256', fleetSecret).update(SIGNATURE_DOMAIN).update(headBytes).digest();
}
