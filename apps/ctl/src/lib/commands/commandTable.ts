import { checkManifest } from './checkManifest';
import type { CommandDefinition } from './CommandDefinition';
import { diffManifest } from './diffManifest';
import { grantKey } from './grantKey';
import { listKeys } from './listKeys';
import { publishManifest } from './publishManifest';
import { showManifest } from './showManifest';
import { showStatus } from './showStatus';
import { withdrawKey } from './withdrawKey';

const publishing = { needsStore: true, needsSecret: true };
const reading = { needsStore: true, needsSecret: false };

/**
 * All commands of buckthornslipctl.
 *
 * @internal
 */
export const commandTable: readonly CommandDefinition[] = [
  {
    group: 'manifest',
    syntax: 'check <file>',
    description: 'Validate a manifest without the store',
    needsStore: false,
    needsSecret: false,
    run: checkManifest,
  },
  {
    ...publishing,
    group: 'manifest',
    syntax: 'publish <file>',
    description: 'Make a manifest the current one',
    run: publishManifest,
  },
  {
    ...reading,
    group: 'manifest',
    syntax: 'show',
    description: 'Print the current manifest',
    run: showManifest,
  },
  {
    ...reading,
    group: 'manifest',
    syntax: 'diff <file>',
    description: 'Show what publishing a manifest would change',
    run: diffManifest,
  },
  {
    ...publishing,
    group: 'key',
    syntax: 'grant <account>',
    description: 'Grant a new key and print it once',
    run: grantKey,
  },
  {
    ...publishing,
    group: 'key',
    syntax: 'withdraw <keyId>',
    description: 'Withdraw a key for good',
    run: withdrawKey,
  },
  {
    ...reading,
    group: 'key',
    syntax: 'list',
    description: 'List all keys by id',
    run: listKeys,
  },
  {
    group: '',
    syntax: 'status',
    description: 'Show what the zone contacts and the given nodes know',
    needsStore: false,
    needsSecret: true,
    run: showStatus,
  },
];
