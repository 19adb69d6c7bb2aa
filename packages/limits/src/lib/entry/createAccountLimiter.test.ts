import t from 'tap';
import { createFakeClock, createSeededRandom, failure, success } from '@buckthornslip/common';
import type { AccountId, FakeClock, HostId, Incarnation, RegionId } from '@buckthornslip/common';
import { createAccountGrouping, createAccountLimiter } from '@buckthornslip/limits';
import type { AccountLimiter, GrantRequest, GrantResponse } from '@buckthornslip/limits';
import { createSilentLogger } from '@buckthornslip/telemetry';

const ACCOUNT = 'account' as AccountId;

interface Fixture {
  readonly clock: FakeClock;
  readonly limiter: AccountLimiter;
  readonly requests: GrantRequest[];
}

/**
 * Creates a limiter whose token server responds after a delay with the answer that the test
 * chooses.
 */
async function createFixture(
  answer: (request: GrantRequest, count: number) => GrantResponse | 'unreachable',
  delayMilliseconds: number | (() => number) = 1,
  burst = 10,
): Promise<Fixture> {
  const clock = createFakeClock();
  const requests: GrantRequest[] = [];
  const definition = { id: ACCOUNT, ratePerSecond: 10, burst, routes: [] };
  const limiter = createAccountLimiter({
    clock,
    random: createSeededRandom(1),
    region: 'east' as RegionId,
    grouping: await createAccountGrouping(),
    accounts: () => new Map([[ACCOUNT, { ...definition, whenIsolated: 'refuse' }]]),
    regions: () => ['east', 'west'] as unknown as RegionId[],
    logger: createSilentLogger(),
    leases: {
      locate: (partition) =>
        Promise.resolve(
          success({
            holder: { host: 'host' as HostId, incarnation: 1 as Incarnation },
            epoch: 1,
            controlAddress: partition,
          }),
        ),
      forgetLocation: () => undefined,
    },
    peers: {
      grantTokens: async (_, request, timeoutMilliseconds) => {
        requests.push(request);
        const response = answer(request, requests.length);
        const delay =
          typeof delayMilliseconds === 'number' ? delayMilliseconds : delayMilliseconds();
        await clock.sleep(Math.min(delay, timeoutMilliseconds));
        if (delay > timeoutMilliseconds) return failure({ kind: 'unreachable' as const });
        return response === 'unreachable'
          ? failure({ kind: 'unreachable' as const })
          : success(response);
      },
    },
  });
  return { clock, limiter, requests };
}

const granted = (sequence: number, tokens: number): GrantResponse => ({
  kind: 'granted',
  epoch: 1,
  sequence,
  tokens,
  lifeMilliseconds: 1_000,
});

// Guards against calls that are refused inside the rate because token servers that are short of processor time answer only
// after each request has timed out.
void t.test('a token server that answers slowly is waited for', async (test) => {
  for (const delay of [200, 400, 700]) {
    const { clock, limiter } = await createFixture(
      (request, count) => granted(count, request.needed),
      delay,
    );
    const result = limiter.spend(ACCOUNT);
    await clock.advance(2_500);
    test.ok((await result).ok, `${delay} ms`);
  }
});

// Guards against a long wait for a token server that is gone, once others have answered quickly.
void t.test('the wait for a token server is short again after quick answers', async (test) => {
  let delay = 700;
  const { clock, limiter, requests } = await createFixture(
    (request, count) => granted(count, request.needed),
    () => delay,
  );
  void limiter.spend(ACCOUNT);
  await clock.advance(2_500);
  delay = 5;
  for (let calls = 0; calls < 20; calls += 1) {
    void limiter.spend(ACCOUNT);
    await clock.advance(100);
  }
  delay = 10_000;
  const before = requests.length;
  void limiter.spend(ACCOUNT);
  await clock.advance(600);
  test.ok(requests.length - before >= 2, `${requests.length - before} requests in 600 ms`);
});

void t.test('a burst of a few calls is served by at most two requests', async (test) => {
  const { clock, limiter, requests } = await createFixture((request, count) =>
    granted(count, request.needed),
  );
  const results = Promise.all(Array.from({ length: 5 }, () => limiter.spend(ACCOUNT)));
  await clock.advance(100);
  test.ok((await results).every((result) => result.ok));
  test.ok(requests.length <= 2);
});

void t.test('does not spend tokens of a response that arrives after their expiry', async (test) => {
  // Guards against counting a grant's lifetime from its response: the token server already treats it as expired.
  const { clock, limiter } = await createFixture((_, count) => granted(count, 1), 1_001);
  const first = limiter.spend(ACCOUNT);
  await clock.advance(1_010);
  const second = limiter.spend(ACCOUNT);
  await clock.advance(3_000);
  test.equal((await first).ok, false);
  test.equal((await second).ok, false);
});

void t.test('a duplicate grant adds no tokens', async (test) => {
  const { clock, limiter } = await createFixture(() => granted(1, 2));
  const results = Promise.all([1, 2, 3, 4].map(() => limiter.spend(ACCOUNT)));
  await clock.advance(1_000);
  test.equal((await results).filter((result) => result.ok).length, 2);
});

void t.test('spends cached tokens while the token server is unreachable', async (test) => {
  const { clock, limiter } = await createFixture((_, count) =>
    count === 1 ? granted(1, 4) : 'unreachable',
  );
  const results: boolean[] = [];
  for (let call = 0; call < 5; call += 1) {
    void limiter.spend(ACCOUNT).then((result) => results.push(result.ok));
    await clock.advance(call === 0 ? 2 : 100);
  }
  await clock.advance(3_000);
  test.same(results, [true, true, true, true, false]);
});

void t.test('follows a redirect to the region that owns the account', async (test) => {
  const { clock, limiter, requests } = await createFixture((request, count) =>
    request.partition.startsWith('limits/west/')
      ? granted(count, request.needed)
      : { kind: 'other-region', region: 'west' as RegionId },
  );
  const results = Promise.all([limiter.spend(ACCOUNT)]);
  await clock.advance(50);
  test.ok((await results)[0]?.ok);
  test.equal(requests.filter(({ partition }) => partition.startsWith('limits/east/')).length, 1);
});

void t.test('requests tokens from another region when the own part is used up', async (test) => {
  const { clock, limiter } = await createFixture(
    (request, count) =>
      request.partition.startsWith('limits/west/')
        ? granted(count, request.needed)
        : { kind: 'empty', retryAfterMilliseconds: 500 },
    1,
    100,
  );
  const results = Promise.all([limiter.spend(ACCOUNT), limiter.spend(ACCOUNT)]);
  await clock.advance(50);
  test.ok((await results).every((result) => result.ok));
});

void t.test('the refusal tells an exceeded rate from an unreachable token server', async (test) => {
  const empty = await createFixture(() => ({ kind: 'empty', retryAfterMilliseconds: 80 }));
  const unreachable = await createFixture(() => 'unreachable');
  const refusals = [empty, unreachable].map(async ({ clock, limiter }) => {
    const result = limiter.spend(ACCOUNT);
    await clock.advance(3_000);
    const ended = await result;
    return ended.ok ? undefined : ended.error.kind;
  });
  test.same(await Promise.all(refusals), ['account-rate', 'limit-unavailable']);
});

// Guards against telling callers that their account is over its rate although no token server has answered.
void t.test('a token server that does not answer is no exceeded rate', async (test) => {
  const { clock, limiter } = await createFixture((_, count) => granted(count, 1), 60_000);
  const result = limiter.spend(ACCOUNT);
  await clock.advance(3_000);
  test.match(await result, { ok: false, error: { kind: 'limit-unavailable' } });
});

// Guards against telling callers that their account is over its rate because an earlier call got the only token requested.
void t.test('a grant for an earlier call is no exceeded rate', async (test) => {
  const { clock, limiter } = await createFixture(
    (_, count) => (count === 1 ? granted(1, 1) : 'unreachable'),
    20,
  );
  const first = limiter.spend(ACCOUNT);
  await clock.advance(10);
  const second = limiter.spend(ACCOUNT);
  await clock.advance(3_000);
  test.ok((await first).ok);
  test.match(await second, { ok: false, error: { kind: 'limit-unavailable' } });
});

// Guards against an exceeded rate that is reported as a failure of the token server because it granted some tokens.
void t.test('a grant of fewer tokens than calls wait is an exceeded rate', async (test) => {
  const { clock, limiter } = await createFixture((_, count) =>
    count === 1 ? granted(1, 1) : { kind: 'empty', retryAfterMilliseconds: 80 },
  );
  const results = [limiter.spend(ACCOUNT), limiter.spend(ACCOUNT)];
  await clock.advance(3_000);
  const [first, second] = await Promise.all(results);
  test.ok(first?.ok);
  test.match(second, { ok: false, error: { kind: 'account-rate' } });
});

// Guards against refusing calls while the accounts of a stopping token server move to another one.
void t.test('calls wait for a token server that is briefly unreachable', async (test) => {
  const fixture: Fixture = await createFixture((_, count) => {
    const isAway = fixture.clock.monotonicMilliseconds() < 1_200;
    return isAway ? 'unreachable' : granted(count, 1);
  });
  const result = fixture.limiter.spend(ACCOUNT);
  await fixture.clock.advance(1_500);
  test.ok((await result).ok);
});
