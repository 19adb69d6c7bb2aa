import t from 'tap';

import { loadHeader } from './loadHeader';
import { parseLoadHeader } from './parseLoadHeader';

void t.test('a load header is parsed back, and malformed ones are ignored', async (test) => {
  const load = { running: 3, queued: 1, limit: 32, cutoffRank: 4 };
  test.same(parseLoadHeader(loadHeader(load)), load);
  for (const value of [undefined, '', '1,2,3', '1,2,3,x', '1,2,3,4,5']) {
    test.equal(parseLoadHeader(value), undefined, value ?? 'absent');
  }
});
