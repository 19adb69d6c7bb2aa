import { createSystemClock } from '@buckthornslip/common';
import { createStoreServer } from '@buckthornslip/platform';
import type { ArgumentsCamelCase, Argv } from 'yargs';

import { createStoreControl } from './createStoreControl';

interface StoreArguments {
  readonly port: number;
  readonly controlPort: number;
}

function build(yargs: Argv): Argv<StoreArguments> {
  return yargs
    .option('port', { type: 'number', default: 0, describe: 'port of the store' })
    .option('control-port', {
      type: 'number',
      default: 0,
      describe: 'port for faults and counters',
    }) as unknown as Argv<StoreArguments>;
}

async function run({ port, controlPort }: ArgumentsCamelCase<StoreArguments>): Promise<void> {
  const clock = createSystemClock();
  const store = await createStoreServer({ clock, listen: `127.0.0.1:${port}` });
  const control = createStoreControl(store);
  await new Promise<void>((resolve) => {
    control.listen(controlPort, '127.0.0.1', resolve);
  });
  process.once('SIGTERM', () => {
    control.close();
    control.closeAllConnections();
    store.close();
  });
  process.stdout.write(`${JSON.stringify({ listening: store.address })}\n`);
}

/**
 * `buckthornslip-standins store`.
 *
 * @internal
 */
export const storeCommand = {
  command: 'store',
  describe: 'run a store stand-in that keeps everything in memory',
  builder: build,
  handler: run,
};
