import fc from 'fast-check';
import t from 'tap';

import { normaliseTarget } from './normaliseTarget';

void t.test('targets are normalised, and ambiguous ones are rejected', async (test) => {
  const cases: Readonly<Record<string, string | undefined>> = {
    '/a/%62?c=%64': '/a/b?c=%64',
    '/a%c3%a4': '/a%C3%A4',
    '/': '/',
    '/a/': '/a/',
    '*': undefined,
    'http://other/a': undefined,
    '/a/./b': undefined,
    '/a/..': undefined,
    '/a/%2E%2e/b': undefined,
    '/a/..;x/b': undefined,
    '/a//b': undefined,
    '/a%2fb': undefined,
    '/a%5cb': undefined,
    '/a\\b': undefined,
    '/a%00': undefined,
    '/a%zz': undefined,
    '/a#b': undefined,
    '/a b': undefined,
  };
  for (const [target, expected] of Object.entries(cases)) {
    test.equal(normaliseTarget(target)?.target, expected, target);
  }
});

void t.test(
  'normalising is idempotent, and a normalised target has no dot segments or empty segments',
  async () => {
    const part = fc.constantFrom(
      'a',
      '.',
      '/',
      '%2e',
      '%2F',
      '%41',
      '%',
      ';',
      '?',
      '..',
      '\\',
      'B',
    );
    const target = fc.array(part, { maxLength: 12 }).map((parts) => `/${parts.join('')}`);
    fc.assert(
      fc.property(target, (given) => {
        const normalised = normaliseTarget(given);
        if (normalised === undefined) return true;
        const decoded = normalised.path.replace(/%(..)/g, (_, code: string) =>
          String.fromCharCode(Number.parseInt(code, 16)),
        );
        const segments = decoded.split('/').slice(1);
        const isSafe =
          segments.slice(0, -1).every((segment) => segment !== '') &&
          segments.every((segment) => !/^\.\.?$/.test(segment));
        return isSafe && normaliseTarget(normalised.target)?.target === normalised.target;
      }),
      { seed: 1_204, numRuns: 2_000 },
    );
  },
);
