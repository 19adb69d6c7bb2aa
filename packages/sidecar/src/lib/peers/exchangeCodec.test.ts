import type { HostId, Incarnation, RegionId, ZoneId } from '@buckthornslip/common';
import { channelMessages } from '@buckthornslip/wire';
import t from 'tap';

import type { DirectoryMessage } from '../directory/DirectoryMessage';
import { fromExchangeFields, toExchangeFields } from './exchangeCodec';

const messageWithAge = (policyAgeMilliseconds: number): DirectoryMessage => ({
  from: {
    host: 'host' as HostId,
    incarnation: 1 as Incarnation,
    version: 1,
    service: undefined,
    region: 'region' as RegionId,
    zone: 'zone' as ZoneId,
    peerAddress: '127.0.0.1:7000',
    controlAddress: '127.0.0.1:7000',
    slots: 1,
    connections: 1,
    state: 'ready',
    alive: true,
  },
  digest: '',
  policyRevision: 3,
  policyAgeMilliseconds,
  evacuations: undefined,
  members: [],
  isUpdate: true,
});

const ageAfterTransfer = (policyAgeMilliseconds: number): number | undefined => {
  const fields = toExchangeFields(messageWithAge(policyAgeMilliseconds), undefined, false);
  const bytes = channelMessages.Exchange.encode({ ...fields, sequence: 1 }).finish();
  return fromExchangeFields(channelMessages.Exchange.decode(bytes))?.policyAgeMilliseconds;
};

// Guards against a policy that looks newer to another node than the sender knows it to be.
void t.test('the age of a policy is never understated', async (test) => {
  test.equal(ageAfterTransfer(0), 0);
  test.equal(ageAfterTransfer(1_250.2), 1_251);
  test.equal(ageAfterTransfer(Infinity), Infinity);
});
