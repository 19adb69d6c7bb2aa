import type { CallContext, ContextSigner } from '@buckthornslip/calls';
import { failure, success } from '@buckthornslip/common';

/**
 * @returns A signer that encodes the context and its purpose without a signature; it detects no forgery but a wrong
 *   purpose.
 * @internal
 */
export function createFakeContextSigner(): ContextSigner {
  return {
    sign: (context, purpose) =>
      Buffer.from(JSON.stringify({ purpose, context })).toString('base64url'),
    verify: (header, purpose) => {
      if (header === undefined) return failure({ kind: 'missing' });
      try {
        const text = Buffer.from(header, 'base64url').toString('utf8');
        const signed = JSON.parse(text) as { purpose: string; context: CallContext };
        return signed.purpose === purpose ? success(signed.context) : failure({ kind: 'forged' });
      } catch {
        return failure({ kind: 'malformed' });
      }
    },
  };
}
