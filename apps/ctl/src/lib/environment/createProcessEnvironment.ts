import { readFile } from 'node:fs/promises';

import { createCommandClock } from './createCommandClock';

import { createNodeClients } from '../nodes/createNodeClients';
import { createStoreClient } from './createStoreClient';
import type { CtlEnvironment } from './CtlEnvironment';

/**
 * @returns The environment of this process.
 * @internal
 */
export function createProcessEnvironment(): CtlEnvironment {
  return {
    clock: createCommandClock(),
    variables: process.env,
    readFile: (path) => readFile(path, 'utf8'),
    write: (line) => process.stdout.write(`${line}\n`),
    writeError: (line) => process.stderr.write(`${line}\n`),
    createStore: createStoreClient,
    createNodes: createNodeClients,
  };
}
