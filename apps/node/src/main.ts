import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { readSettings, runNode } from './lib/process/runNode';

const settingsOption = {
  describe: 'TOML file with the settings of this node',
  type: 'string',
  demandOption: true,
} as const;

await yargs(hideBin(process.argv))
  .scriptName('buckthornslip-node')
  .version('0.1.0')
  .command(
    'run',
    'Runs the node until SIGTERM',
    (command) => command.option('settings', settingsOption),
    ({ settings }) => runNode(settings),
  )
  .command(
    'check-settings',
    'Checks a settings file and lists every fault',
    (command) => command.option('settings', settingsOption),
    async ({ settings }) => {
      const checked = await readSettings(settings);
      if (checked) process.stdout.write(`${settings} is valid\n`);
      else process.exitCode = 1;
    },
  )
  .demandCommand(1, 'a command is required')
  .strict()
  .help()
  .parseAsync();
