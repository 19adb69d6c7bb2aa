import fc from 'fast-check';
import t from 'tap';

import { forwardableHeaders } from './forwardableHeaders';
import { keyEncodings } from './keyEncodings';

void t.test('hop-by-hop headers and system headers are removed', async (test) => {
  const raw = [
    ['Accept', 'text/plain'],
    ['connection', 'close, X-One'],
    ['Connection', 'x-two'],
    ['X-One', '1'],
    ['x-TWO', '2'],
    ['TE', 'trailers'],
    ['Content-Length', '3'],
    ['Buckthornslip-Outcome', 'ran'],
    ['Set-Cookie', 'a=1'],
    ['Set-Cookie', 'b=2'],
  ].flat();
  const kept = ['Accept', 'text/plain', 'Set-Cookie', 'a=1', 'Set-Cookie', 'b=2'];
  test.same(forwardableHeaders(raw), kept);
  const withLength = ['Accept', 'text/plain', 'Content-Length', '3', ...kept.slice(2)];
  test.same(forwardableHeaders(raw, { keepLength: true }), withLength);
});

void t.test('headers that contain a plain or encoded key are removed', async () => {
  const text = fc.string({ maxLength: 9 });
  const key = fc.string({ minLength: 8, maxLength: 40, unit: fc.constantFrom(...'aZ09-_.+/=') });
  const encode = fc.constantFrom<((plain: string) => string)[]>(
    (plain) => plain,
    (plain) => Buffer.from(plain).toString('base64'),
    (plain) => Buffer.from(plain).toString('base64url'),
    encodeURIComponent,
  );
  fc.assert(
    fc.property(text, key, text, encode, (before, secret, after, code) => {
      const raw = ['X-A', code(before + secret + after)];
      return forwardableHeaders(raw, { keyEncodings: keyEncodings(secret) }).length === 0;
    }),
    { seed: 1_204, numRuns: 2_000 },
  );
});
