import { readFile } from 'node:fs/promises';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

/** Root of the repository, from which the deploy file's commands run. */
export const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** Ports of a machine; each machine has its own loopback address. */
export const ports = { inbound: 8543, outbound: 8548, readiness: 8546, admin: 8540, app: 8547 };

/** Bounds of the site files, as the platform passes them on. */
const bounds = {
  retryBudgetRatio: 0.2,
  budgetSlack: 50,
  configApply: '2500ms',
  stableWindow: '4000ms',
  grace: '6s',
};

/** The fields of one machine's settings, under the names of the users' pages. */
export function settingsFields({ name, address, zone, service, bootstrap, store }) {
  return {
    nodeId: name,
    ip: address,
    zone,
    region: 'vestland',
    service,
    bootstrap,
    heartbeat: '1500ms',
    bounds,
    bind: {
      inbound: `${address}:${ports.inbound}`,
      outbound: `${address}:${ports.outbound}`,
      readiness: `${address}:${ports.readiness}`,
      admin: `${address}:${ports.admin}`,
    },
    platform: { address: store },
  };
}

const valueAt = (fields, path) => path.split('.').reduce((value, name) => value?.[name], fields);

/** Renders the settings template of the deploy file; it uses only the `{{name|json}}` form. */
export async function renderSettings(fields) {
  const template = await readFile(join(root, 'deploy', 'settings.toml.template'), 'utf8');
  return template.replace(/\{\{([\w.]+)\|json\}\}/g, (_match, path) =>
    JSON.stringify(valueAt(fields, path)),
  );
}

/** The run line of the deploy file, split at spaces. */
export async function runCommand() {
  const deploy = await readFile(join(root, 'deploy', 'system.toml'), 'utf8');
  const [, line] = /^run = "(.*)"$/m.exec(deploy);
  return line.split(' ');
}
