import type { FakeClock } from '@buckthornslip/common';
import { createFakeClock } from '@buckthornslip/common';
import { createSilentLogger } from '@buckthornslip/telemetry';
import t from 'tap';

import { createPolicyFetcher } from './createPolicyFetcher';

/** Time after which a request to a node that does not answer fails, in milliseconds. */
const REQUEST_TIMEOUT_MILLISECONDS = 900;

const ANSWER_MILLISECONDS = 5;

const REVISION = 2;

/** Nodes of a large zone, all of which announce a policy. */
const ANNOUNCERS = Array.from({ length: 25 }, (_, index) => `announcer-${index}`);

/** Longest wait for a policy that one of many announcers provides, in milliseconds. */
const LONGEST_WAIT_MILLISECONDS = 1_500;

/**
 * A fetcher whose nodes all have the same policy; those in `silent` do not answer.
 *
 * @param clock - Source of time.
 * @param silent - Nodes that do not answer.
 * @param revisions - Revisions that single nodes have instead.
 */
function createFetcher(
  clock: FakeClock,
  silent: readonly string[],
  revisions: ReadonlyMap<string, number> = new Map(),
) {
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
      return isSilent ? undefined : Buffer.of(revisions.get(address) ?? REVISION);
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

// Guards against a newer policy that waits until the announcers of an earlier one have had their turns.
void t.test('a newer policy does not wait for the announcers of an earlier one', async (test) => {
  const clock = createFakeClock();
  const { current, fetcher } = createFetcher(clock, [], new Map([['relay', REVISION + 1]]));
  ANNOUNCERS.forEach((address) => fetcher.announce({ address, revision: REVISION }));
  await clock.advance(ANSWER_MILLISECONDS);
  fetcher.announce({ address: 'relay', revision: REVISION + 1 });
  await clock.advance(ANSWER_MILLISECONDS);
  test.equal(current(), REVISION + 1);
});

// Guards against the same wait while the earlier policy has not arrived.
void t.test(
  'a newer policy does not wait for silent announcers of an earlier one',
  async (test) => {
    const clock = createFakeClock();
    const revisions = new Map([['relay', REVISION + 1]]);
    const { current, fetcher } = createFetcher(clock, ANNOUNCERS, revisions);
    ANNOUNCERS.forEach((address) => fetcher.announce({ address, revision: REVISION }));
    await clock.advance(ANSWER_MILLISECONDS);
    fetcher.announce({ address: 'relay', revision: REVISION + 1 });
    await clock.advance(ANSWER_MILLISECONDS);
    test.equal(current(), REVISION + 1);
  },
);

// Guards against a wait for a policy that grows with the number of nodes that announce it and do not answer.
void t.test('the last of many announcers is asked in time', async (test) => {
  const clock = createFakeClock();
  const { current, fetcher } = createFetcher(clock, ANNOUNCERS.slice(0, -1));
  ANNOUNCERS.forEach((address) => fetcher.announce({ address, revision: REVISION }));
  await clock.advance(LONGEST_WAIT_MILLISECONDS);
  test.equal(current(), REVISION);
});

// Guards against a policy that is never fetched because the store did not have it when it was read.
void t.test(
  'announcers that did not answer are asked again when they announce again',
  async (test) => {
    const clock = createFakeClock();
    const { current, fetcher, requests, storeReads } = createFetcher(clock, ['a']);
    fetcher.announce({ address: 'a', revision: REVISION });
    await clock.advance(2 * REQUEST_TIMEOUT_MILLISECONDS);
    test.equal(storeReads(), 1);
    fetcher.announce({ address: 'a', revision: REVISION });
    fetcher.announce({ address: 'b', revision: REVISION });
    await clock.advance(REQUEST_TIMEOUT_MILLISECONDS);
    test.same(requests, ['a', 'a', 'b']);
    test.equal(current(), REVISION);
  },
);
