/** Samples after which the mean becomes a moving average; its weight is the inverse. */
const MAXIMUM_SAMPLES = 32;

/**
 * Fixed-size table of means by hash. Entries hold one hash each. A hash that finds its entry taken lowers the sample
 * count of the owner, and takes the entry at zero, so that frequent hashes keep their entries.
 *
 * @internal
 */
export interface MeanTable {
  /** @returns Number of samples behind the mean of a hash, up to a maximum; 0 if it is not in the table. */
  readonly samples: (hash: number) => number;
  /** @returns The mean of a hash that is in the table. */
  readonly mean: (hash: number) => number;
  readonly add: (hash: number, value: number) => void;
}

/**
 * @param size - Number of entries; a prime, which spreads the hashes.
 * @returns An empty table, which takes 16 bytes an entry.
 * @internal
 */
export function createMeanTable(size: number): MeanTable {
  const hashes = new Int32Array(size);
  const counts = new Int32Array(size);
  const means = new Float64Array(size);
  const entryOf = (hash: number): number => Math.abs(hash) % size;

  return {
    samples: (hash) => {
      const entry = entryOf(hash);
      return hashes[entry] === hash ? counts[entry]! : 0;
    },
    mean: (hash) => means[entryOf(hash)]!,
    add: (hash, value) => {
      const entry = entryOf(hash);
      const count = counts[entry]!;
      if (count > 0 && hashes[entry] !== hash) {
        counts[entry] = count - 1;
        return;
      }
      const samples = Math.min(MAXIMUM_SAMPLES, count + 1);
      hashes[entry] = hash;
      counts[entry] = samples;
      means[entry] = count === 0 ? value : means[entry]! + (value - means[entry]!) / samples;
    },
  };
}
