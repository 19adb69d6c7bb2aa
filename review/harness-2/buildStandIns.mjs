// Bundles the project's stand-in for the platform's store, so that the cases need no TypeScript runner.
import { build } from 'esbuild';

await build({
  stdin: {
    contents: `
      export { createFakeStoreServer } from './platform/src/lib/testing/createFakeStoreServer';
      export { createSystemClock } from '@buckthornslip/common';
    `,
    resolveDir: process.cwd(),
    loader: 'ts',
  },
  outfile: 'target/review-2/store.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  alias: { rxjs: './node_modules/rxjs/dist/esm/index.js' },
  logLevel: 'warning',
  banner: {
    js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);",
  },
});
