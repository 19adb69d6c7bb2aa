import type { Member } from '@buckthornslip/membership';
import type { StoreEra } from '@buckthornslip/platform';
import { NO_STORE_ERA } from '@buckthornslip/platform';

import type { ExchangeFields } from '../channel/PeerLink';
import type { DirectoryMessage } from '../directory/DirectoryMessage';
import { fromEvacuationFields, toEvacuationFields } from '../evacuation/evacuationCodec';
import { isCount } from '../directory/isCount';
import { fromMemberMessage, toMemberMessage } from '../directory/memberMessages';

const NO_BYTES = Buffer.alloc(0);

/** Wire form of an age that is not known. */
const UNKNOWN_AGE = -1;

const toWireAge = (milliseconds: number): number =>
  Number.isFinite(milliseconds) ? Math.max(0, Math.ceil(milliseconds)) : UNKNOWN_AGE;

const fromWireAge = (milliseconds: number): number => (milliseconds < 0 ? Infinity : milliseconds);

const fromWireEra = (era: number): StoreEra =>
  isCount(era, Number.MAX_SAFE_INTEGER) ? (era as StoreEra) : NO_STORE_ERA;

/**
 * @param message - A directory message.
 * @param policy - Encoded policy, if the receiver has requested it.
 * @param wantsPolicy - Whether the sender requests the receiver's policy.
 * @returns The message in wire form.
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
    policyAgeMilliseconds: toWireAge(message.policyAgeMilliseconds),
    members: message.members.map(toMemberMessage),
    wantsPolicy,
    policy: policy ? Buffer.from(policy) : NO_BYTES,
    update: message.isUpdate,
    evacuations: toEvacuationFields(message.evacuations),
    storeEra: message.storeEra,
  };
}

/**
 * @param fields - A directory message in wire form.
 * @returns The message without malformed records, or undefined if the sender's own record is missing or malformed.
 * @internal
 */
export function fromExchangeFields(fields: ExchangeFields): DirectoryMessage | undefined {
  const from = fields.from && fromMemberMessage(fields.from);
  if (!from) return undefined;
  return {
    from,
    digest: fields.digest,
    policyRevision: fields.policyRevision,
    policyAgeMilliseconds: fromWireAge(fields.policyAgeMilliseconds),
    evacuations: fromEvacuationFields(fields.evacuations),
    isUpdate: fields.update,
    storeEra: fromWireEra(fields.storeEra),
    members: fields.members
      .map(fromMemberMessage)
      .filter((member): member is Member => member !== undefined),
  };
}
