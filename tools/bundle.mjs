import { build } from 'esbuild';

/** Bundles a program into one minified file. */
export function bundle(entryPoint, outfile) {
  return build({
    entryPoints: [entryPoint],
    outfile,
    bundle: true,
    minify: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    // Selects the ES modules of rxjs, which esbuild can tree-shake. Node.js would load the CommonJS build, which it
    // cannot.
    alias: { rxjs: './node_modules/rxjs/dist/esm/index.js' },
    logLevel: 'warning',
    banner: {
      js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);",
    },
  });
}
