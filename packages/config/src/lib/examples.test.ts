import { readdir, readFile } from 'node:fs/promises';

import { parseManifest, parseNodeSettings } from '@buckthornslip/config';
import t from 'tap';

const examples = new URL('../../../../examples/', import.meta.url);

function readSecret(): string {
  return 'secret-for-this-test-only';
}

for (const deployment of ['auklu', 'nissefjord']) {
  const folder = new URL(`${deployment}/`, examples);
  const readText = (name: string): Promise<string> => readFile(new URL(name, folder), 'utf8');

  void t.test(
    `${deployment}: the example manifest and settings are valid and consistent`,
    async (test) => {
      const manifest = parseManifest(await readText('manifest.toml'));
      if (!manifest.ok) throw new Error(JSON.stringify(manifest.error));
      test.equal(manifest.value.services.size, 4);
      test.equal(manifest.value.accounts.size, 8);
      const names = (await readdir(folder)).filter((name) => name.startsWith('node-'));
      test.equal(names.length, 2, 'one settings file per region');
      for (const name of names) {
        const settings = parseNodeSettings(await readText(name), {}, readSecret);
        if (!settings.ok) throw new Error(JSON.stringify(settings.error));
        const zones = manifest.value.regions.get(settings.value.region) ?? [];
        test.ok(zones.includes(settings.value.zone), `${name}: the manifest has its zone`);
      }
    },
  );
}
