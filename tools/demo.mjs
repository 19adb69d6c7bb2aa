// Installs the dependencies if they are missing, builds the programs and runs the demonstration.
import { spawnSync } from 'node:child_process';
import { existsSync } from 'node:fs';

const run = (command, commandArguments) => {
  const { status } = spawnSync(command, commandArguments, { stdio: 'inherit' });
  if (status !== 0) process.exit(status ?? 1);
};

if (!existsSync('node_modules')) run('npm', ['ci', '--no-audit', '--no-fund', '--silent']);
run('node', ['tools/build.mjs']);
run('node', ['--import', 'tsx', 'bench/src/demo/runDemo.ts']);
