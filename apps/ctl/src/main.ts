import { hideBin } from 'yargs/helpers';

import { createProcessEnvironment } from './lib/environment/createProcessEnvironment';
import { runCtl } from './lib/runCtl';

process.exitCode = await runCtl(hideBin(process.argv), createProcessEnvironment());
