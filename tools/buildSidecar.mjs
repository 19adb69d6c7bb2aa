// Bundles the sidecar for the users' platform into target/, or into the file that is named.
import { bundle } from './bundle.mjs';

const [, , outfile = 'target/buckthornslip-sidecar.mjs'] = process.argv;

await bundle('platform/src/main.ts', outfile);
