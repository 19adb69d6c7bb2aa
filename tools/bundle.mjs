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
    logLevel: 'warning',
    banner: {
      js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);",
    },
  });
}
