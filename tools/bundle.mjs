import { build } from 'esbuild';

/** Bundles one program into a minified file. */
export function bundle(entryPoint, outfile) {
  return build({
    entryPoints: [entryPoint],
    outfile,
    bundle: true,
    minify: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    // The ES modules of rxjs can be reduced to what is used; the CommonJS form that Node.js would load cannot.
    alias: { rxjs: './node_modules/rxjs/dist/esm/index.js' },
    logLevel: 'warning',
    banner: {
      js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);",
    },
  });
}
