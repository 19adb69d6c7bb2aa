// Bundles each program into one minified file in dist/.
import { bundle } from './bundle.mjs';

const programs = {
  'buckthornslip-node': 'apps/node/src/main.ts',
  buckthornslipctl: 'apps/ctl/src/main.ts',
  'buckthornslip-standins': 'apps/standins/src/main.ts',
};

await Promise.all(
  Object.entries(programs).map(([name, entryPoint]) => bundle(entryPoint, `dist/${name}.mjs`)),
);
