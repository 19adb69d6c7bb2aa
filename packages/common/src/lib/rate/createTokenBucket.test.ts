import t from 'tap';
import { createFakeClock, createTokenBucket } from '@buckthornslip/common';

// Guards against earning tokens twice, above the capacity, or for the time in which a bucket was overdrawn.
void t.test('tokens are earned at the rate, up to the capacity', async (test) => {
  const clock = createFakeClock();
  const bucket = createTokenBucket(clock, () => ({ tokensPerSecond: 10, capacity: 5 }), 2);
  test.equal(bucket.available(), 2);
  bucket.take(4);
  test.equal(bucket.available(), -2);
  test.equal(bucket.millisecondsUntil(1), 300);
  await clock.advance(250);
  test.equal(bucket.available(), 0.5);
  test.equal(bucket.available(), 0.5);
  await clock.advance(1_000);
  test.equal(bucket.available(), 5);
  test.equal(bucket.millisecondsUntil(5), 0);
  bucket.take(-1);
  test.equal(bucket.available(), 5, 'returned tokens do not exceed the capacity');
});

// Guards against a wait that ends at once although no token will come.
void t.test('a bucket without a rate is never refilled', async (test) => {
  const clock = createFakeClock();
  const bucket = createTokenBucket(clock, () => ({ tokensPerSecond: 0, capacity: 5 }), 0);
  await clock.advance(60_000);
  test.equal(bucket.available(), 0);
  test.equal(bucket.millisecondsUntil(1), Infinity);
});
