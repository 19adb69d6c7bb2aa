import type { AccountId, PartitionId, RegionId } from '@buckthornslip/common';
import type { GrantTokensRequest, GrantTokensResponse } from '@buckthornslip/wire';

import type { GrantRequest } from '../messages/GrantRequest';
import type { GrantResponse } from '../messages/GrantResponse';

type Outcome = NonNullable<GrantTokensResponse['outcome']>;

const encodeOutcome = (response: GrantResponse): Outcome => {
  if (response.kind === 'granted') return { $case: 'granted', value: response };
  if (response.kind === 'empty') return { $case: 'empty', value: response };
  if (response.kind === 'other-region') return { $case: 'otherRegion', value: response };
  return { $case: 'notHolder', value: {} };
};

/**
 * Converts grant messages between the types of this package and the generated protobuf types.
 *
 * @internal
 */
export const grantCodec = {
  encodeRequest: (request: GrantRequest): GrantTokensRequest => ({
    ...request,
    reports: request.reports.map((report) => ({ ...report })),
  }),

  decodeRequest: (message: GrantTokensRequest): GrantRequest => ({
    ...message,
    partition: message.partition as PartitionId,
    account: message.account as AccountId,
    region: message.region as RegionId,
  }),

  encodeResponse: (response: GrantResponse): GrantTokensResponse => ({
    outcome: encodeOutcome(response),
  }),

  /** Decodes a response. An outcome that this version does not know is treated as `not-holder`. */
  decodeResponse: ({ outcome }: GrantTokensResponse): GrantResponse => {
    if (outcome?.$case === 'granted') return { kind: 'granted', ...outcome.value };
    if (outcome?.$case === 'empty') return { kind: 'empty', ...outcome.value };
    if (outcome?.$case === 'otherRegion')
      return { kind: 'other-region', region: outcome.value.region as RegionId };
    return { kind: 'not-holder' };
  },
};
