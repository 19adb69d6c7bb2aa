import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath, pathToFileURL } from 'node:url';

import { build } from 'esbuild';

/**
 * Bundled scripts in a temporary directory.
 *
 * @internal
 */
export interface BundledScripts {
  readonly url: (name: string) => URL;
  readonly remove: () => Promise<void>;
}

/**
 * Bundles the scripts of child processes in the same way as the programs. Without a bundle, the TypeScript loader wraps
 * every function, and the measurements would include that overhead.
 *
 * @param names - File names of the scripts in bench/src, without extension.
 * @returns The bundled scripts.
 * @internal
 */
export async function bundleScripts(names: readonly string[]): Promise<BundledScripts> {
  const outdir = await mkdtemp(join(tmpdir(), 'buckthornslip-bench-'));
  const source = (name: string): string => fileURLToPath(new URL(`../${name}.ts`, import.meta.url));
  await build({
    entryPoints: names.map(source),
    outdir,
    outExtension: { '.js': '.mjs' },
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    logLevel: 'warning',
    banner: {
      js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);",
    },
  });
  return {
    url: (name) => pathToFileURL(join(outdir, `${name}.mjs`)),
    remove: () => rm(outdir, { recursive: true }),
  };
}
