import type { Result } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';

import type { ConfigurationIssue } from '../issues/ConfigurationIssue';

/** Shortest fleet secret: 128 bits, below which a key for HMAC-SHA-256 could be guessed. */
const SHORTEST_SECRET_BYTES = 16;

const DEFAULT_VARIABLE = 'BUCKTHORNSLIP_FLEET_SECRET';

type Sources = Readonly<
  Partial<
    Record<'fleet_secret' | 'fleet_secret_file' | 'fleet_secret_environment', string | undefined>
  >
>;

type Read = () => string | undefined;

function readOrUndefined(readFile: (path: string) => string, path: string): string | undefined {
  try {
    return readFile(path).trim();
  } catch {
    return undefined;
  }
}

/**
 * Reads the fleet secret from the one source that the settings name: a value, a file or an environment variable.
 * Without any of them, the environment variable BUCKTHORNSLIP_FLEET_SECRET holds it.
 *
 * @param sources - The settings that name a source.
 * @param environment - Environment variables.
 * @param readFile - Reads a text file; throws if it cannot.
 * @returns The secret, or what is wrong with it. Faults never contain the secret.
 * @public
 */
export function readFleetSecret(
  sources: Sources,
  environment: Readonly<Record<string, string | undefined>>,
  readFile: (path: string) => string,
): Result<string, readonly ConfigurationIssue[]> {
  const { fleet_secret: value, fleet_secret_file: file } = sources;
  const variable = sources.fleet_secret_environment;
  const named: (readonly [string, Read])[] = [];
  if (value !== undefined) named.push(['fleet_secret', () => value]);
  if (file !== undefined) named.push(['fleet_secret_file', () => readOrUndefined(readFile, file)]);
  if (variable !== undefined) {
    named.push(['fleet_secret_environment', () => environment[variable]?.trim()]);
  }
  const [path, read] = named[0] ?? [DEFAULT_VARIABLE, () => environment[DEFAULT_VARIABLE]?.trim()];
  const fault = (message: string) => failure([{ path, message }]);
  if (named.length > 1) return fault('the fleet secret has more than one source');
  const secret = read();
  if (secret === undefined) return fault('the fleet secret cannot be read from here');
  const isLongEnough = Buffer.byteLength(secret) >= SHORTEST_SECRET_BYTES;
  if (!isLongEnough) return fault(`the secret is shorter than ${SHORTEST_SECRET_BYTES} bytes`);
  return success(secret);
}
