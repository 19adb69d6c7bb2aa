import type { ExchangeFields } from '../channel/PeerLink';
import type { DirectoryMessage } from '../directory/DirectoryMessage';
import { fromMemberMessage, toMemberMessage } from '../directory/memberMessages';

const NO_BYTES = Buffer.alloc(0);

/**
 * @param message - A comparison of tables.
 * @param policy - Policy that the receiver has asked for.
 * @param wantsPolicy - Whether the sender asks for the receiver's policy.
 * @returns The comparison as it travels between nodes.
 * @internal
 */
export function toExchangeFields(
  message: DirectoryMessage,
  policy: Uint8Array | undefined,
  wantsPolicy: boolean,
): ExchangeFields {
  return {
    from: toMemberMessage(message.from),
    digest: message.digest,
    policyRevision: message.policyRevision,
    members: message.members.map(toMemberMessage),
    wantsPolicy,
    policy: policy ? Buffer.from(policy) : NO_BYTES,
  };
}

/**
 * @param fields - A comparison as it travelled.
 * @returns The comparison, or undefined if the sender did not name itself.
 * @internal
 */
export function fromExchangeFields(fields: ExchangeFields): DirectoryMessage | undefined {
  if (!fields.from) return undefined;
  return {
    from: fromMemberMessage(fields.from),
    digest: fields.digest,
    policyRevision: fields.policyRevision,
    members: fields.members.map(fromMemberMessage),
  };
}
