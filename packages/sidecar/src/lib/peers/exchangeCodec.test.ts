import type { HostId, Incarnation, RegionId, ZoneId } from '@buckthornslip/common';
import type { StoreEra } from '@buckthornslip/platform';
import { NO_STORE_ERA } from '@buckthornslip/platform';
import { channelMessages } from '@buckthornslip/wire';
import t from 'tap';

import type { DirectoryMessage } from '../directory/DirectoryMessage';
import { fromExchangeFields, toExchangeFields } from './exchangeCodec';

const createMessage = (
  policyAgeMilliseconds: number,
  storeEra = NO_STORE_ERA,
): DirectoryMessage => ({
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
  storeEra,
});

const transfer = (message: DirectoryMessage): DirectoryMessage | undefined => {
  const fields = toExchangeFields(message, undefined, false);
  const bytes = channelMessages.Exchange.encode({ ...fields, sequence: 1 }).finish();
  return fromExchangeFields(channelMessages.Exchange.decode(bytes));
};

const ageAfterTransfer = (policyAgeMilliseconds: number): number | undefined =>
  transfer(createMessage(policyAgeMilliseconds))?.policyAgeMilliseconds;

// Guards against a policy that looks newer to another node than the sender knows it to be.
void t.test('the age of a policy is never understated', async (test) => {
  test.equal(ageAfterTransfer(0), 0);
  test.equal(ageAfterTransfer(1_250.2), 1_251);
  test.equal(ageAfterTransfer(Infinity), Infinity);
});

// Guards against a restore of the store that a node does not tell to others, and against a malformed era.
void t.test('the era of the store is sent along', async (test) => {
  test.equal(transfer(createMessage(0, 3 as StoreEra))?.storeEra, 3);
  test.equal(transfer(createMessage(0, -1 as StoreEra))?.storeEra, 0);
});
