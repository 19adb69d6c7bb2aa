import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { callerCommand } from './lib/caller/callerCommand';
import { storeCommand } from './lib/store/storeCommand';
import { upstreamCommand } from './lib/upstream/upstreamCommand';

await yargs(hideBin(process.argv))
  .scriptName('buckthornslip-standins')
  .version('0.1.0')
  .command(storeCommand)
  .command(upstreamCommand)
  .command(callerCommand)
  .demandCommand(1)
  .strict()
  .help()
  .parseAsync();
