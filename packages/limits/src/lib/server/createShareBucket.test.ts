import t from 'tap';
import { createFakeClock } from '@buckthornslip/common';
import type { FakeClock } from '@buckthornslip/common';

import { createShareBucket } from './createShareBucket';
import type { ShareBucket } from './ShareBucket';

const LIFETIME_MILLISECONDS = 1_000;

function createFullBucket(): { readonly clock: FakeClock; readonly bucket: ShareBucket } {
  const clock = createFakeClock();
  const bucket = createShareBucket(clock.monotonicMilliseconds, 0, true);
  bucket.resize(10, 10);
  return { clock, bucket };
}

const take = (bucket: ShareBucket, tokens: number): number =>
  bucket.grant(tokens, 0, LIFETIME_MILLISECONDS).tokens;

void t.test('outstanding tokens count against the capacity', async (test) => {
  const { clock, bucket } = createFullBucket();
  test.equal(take(bucket, 10), 10);
  await clock.advance(900);
  test.equal(take(bucket, 10), 0);
  await clock.advance(600);
  test.equal(take(bucket, 10), 5);
});

void t.test('a closed grant returns its unspent tokens once', async (test) => {
  const { bucket } = createFullBucket();
  const { sequence } = bucket.grant(10, 0, LIFETIME_MILLISECONDS);
  bucket.applyReport({ sequence, spent: 4, closed: true });
  bucket.applyReport({ sequence, spent: 0, closed: true });
  test.equal(take(bucket, 10), 6);
});

void t.test('a resize applies at once and adds no tokens', async (test) => {
  const { clock, bucket } = createFullBucket();
  bucket.resize(10, 20);
  test.equal(take(bucket, 20), 10);
  bucket.resize(100, 4);
  await clock.advance(900);
  test.equal(take(bucket, 1), 0);
  await clock.advance(200);
  test.equal(take(bucket, 10), 4);
});

void t.test(
  'does not refill while grants of an earlier lease holder may be outstanding',
  async (test) => {
    const clock = createFakeClock();
    const bucket = createShareBucket(clock.monotonicMilliseconds, 1_000, false);
    bucket.resize(10, 10);
    await clock.advance(1_000);
    test.equal(take(bucket, 10), 0);
    await clock.advance(200);
    test.equal(take(bucket, 10), 2);
  },
);
