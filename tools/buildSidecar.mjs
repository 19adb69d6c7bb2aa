// Bundles the sidecar for the users' platform into target/.
import { bundle } from './bundle.mjs';

await bundle('platform/src/main.ts', 'target/buckthornslip-sidecar.mjs');
