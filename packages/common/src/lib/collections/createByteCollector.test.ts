import t from 'tap';

import { createSeededRandom } from '../random/createSeededRandom';
import { createByteCollector } from './createByteCollector';

const SEED = 20_261_205;

// Guards against bytes that are lost, repeated or reordered when pieces are copied together.
void t.test('the collected bytes are those of the pieces, in their order', async (test) => {
  const random = createSeededRandom(SEED);
  const collector = createByteCollector();
  for (const pieces of [0, 1, 63, 64, 65, 5_000, 10_000]) {
    const expected: Buffer[] = [];
    for (let piece = 0; piece < pieces; piece += 1) {
      const bytes = Buffer.alloc(random.nextInteger(5), piece % 256);
      expected.push(bytes);
      collector.add(bytes);
    }
    const all = Buffer.concat(expected);
    test.equal(collector.size(), all.length);
    test.ok(collector.take().equals(all), `${pieces} pieces`);
    test.equal(collector.size(), 0);
  }
});
