import { readFile } from 'node:fs/promises';

/** Ports of each node; every node has a loopback address of its own. */
export const ports = {
  inbound: 8543,
  outbound: 8548,
  readiness: 8546,
  admin: 8540,
  backEnd: 8547,
};

/** Bounds of the small sites, as the settings of a process state them. */
export const bounds = {
  stableWindow: '4000ms',
  drain: '2500ms',
  grace: '6s',
  configApply: '2500ms',
  retryBudgetRatio: 0.2,
  budgetSlack: 50,
};

function valueAt(fields, path) {
  return path.split('.').reduce((value, name) => value?.[name], fields);
}

/** Fills in the placeholders that the project's template uses, {{path|json}}. */
export async function renderSettings(fields) {
  const template = await readFile('deploy/settings.toml.template', 'utf8');
  return template.replaceAll(/\{\{([\w.]+)\|json\}\}/g, (_, path) =>
    JSON.stringify(valueAt(fields, path)),
  );
}

/** Returns the words of the run line of the deploy file. */
export async function readRunLine() {
  const text = await readFile('deploy/system.toml', 'utf8');
  const line = /^run = "(.*)"$/m.exec(text)?.[1];
  if (!line) throw new Error('deploy/system.toml has no run line');
  return line.split(' ');
}
