import t from 'tap';

import { fitLine } from './fitLine';

void t.test('points on a line give its slope and intercept', (test) => {
  const fit = fitLine([
    [1, 5],
    [2, 7],
    [4, 11],
  ]);
  test.ok(Math.abs(fit.slope - 2) < 1e-9);
  test.ok(Math.abs(fit.intercept - 3) < 1e-9);
  test.ok(Math.abs(fit.rSquared - 1) < 1e-9);
  test.end();
});

void t.test('values that do not depend on the size give slope 0', (test) => {
  const fit = fitLine([
    [1, 1],
    [2, 2],
    [3, 1],
  ]);
  test.ok(Math.abs(fit.slope) < 1e-9);
  test.ok(fit.rSquared < 1e-9);
  test.end();
});
