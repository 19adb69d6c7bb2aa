import type { FakeClock } from '@buckthornslip/common';
import { createFakeClock } from '@buckthornslip/common';
import { createSilentLogger } from '@buckthornslip/telemetry';
import t from 'tap';

import { createPolicyFetcher } from './createPolicyFetcher';

/** Time after which a request to a node that does not answer fails, in milliseconds. */
const REQUEST_TIMEOUT_MILLISECONDS = 900;

const ANSWER_MILLISECONDS = 5;

const REVISION = 2;

/** A fetcher whose nodes all have the same policy; those in `silent` do not answer. */
function createFetcher(clock: FakeClock, silent: readonly string[]) {
  const requests: string[] = [];
  let current = 1;
  let storeReads = 0;
  const fetcher = createPolicyFetcher({
    clock,
    logger: createSilentLogger(),
    currentRevision: () => current,
    request: async (address) => {
      requests.push(address);
      const isSilent = silent.includes(address);
      await clock.sleep(isSilent ? REQUEST_TIMEOUT_MILLISECONDS : ANSWER_MILLISECONDS);
      return isSilent ? undefined : Buffer.of(REVISION);
    },
    offer: ([revision]) => {
      current = Math.max(current, revision ?? 0);
    },
    readStore: () => {
      storeReads += 1;
    },
  });
  return { fetcher, requests, current: () => current, storeReads: () => storeReads };
}

// Guards against a policy that stays unknown because its first announcer fails while the others announce it.
void t.test('a policy is fetched from another announcer if the first is silent', async (test) => {
  const clock = createFakeClock();
  const { current, fetcher } = createFetcher(clock, ['a', 'b']);
  fetcher.announce({ address: 'a', revision: REVISION });
  await clock.advance(1);
  fetcher.announce({ address: 'b', revision: REVISION });
  fetcher.announce({ address: 'c', revision: REVISION });
  await clock.advance(REQUEST_TIMEOUT_MILLISECONDS - 100);
  test.equal(current(), REVISION);
});

// Guards against the same failure if no announcer answers.
void t.test('the store is read if no announcer answers', async (test) => {
  const clock = createFakeClock();
  const { fetcher, storeReads } = createFetcher(clock, ['a', 'b']);
  fetcher.announce({ address: 'a', revision: REVISION });
  fetcher.announce({ address: 'b', revision: REVISION });
  await clock.advance(2 * REQUEST_TIMEOUT_MILLISECONDS);
  test.equal(storeReads(), 1);
});

// Guards against a policy that each announcer sends to each node.
void t.test('a policy is fetched once if its announcers answer', async (test) => {
  const clock = createFakeClock();
  const { current, fetcher, requests, storeReads } = createFetcher(clock, []);
  ['a', 'b', 'c', 'a'].forEach((address) => fetcher.announce({ address, revision: REVISION }));
  await clock.advance(2 * REQUEST_TIMEOUT_MILLISECONDS);
  test.equal(current(), REVISION);
  test.same(requests, ['a']);
  test.equal(storeReads(), 0);
});
