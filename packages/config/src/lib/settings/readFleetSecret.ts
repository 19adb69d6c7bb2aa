import type { Result } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';

import type { ConfigurationIssue } from '../issues/ConfigurationIssue';

/** Minimum length of the fleet secret: 128 bits. A shorter key for HMAC-SHA-256 could be guessed. */
const MINIMUM_SECRET_BYTES = 16;

const DEFAULT_VARIABLE = 'BUCKTHORNSLIP_FLEET_SECRET';

type Sources = Readonly<
  Partial<
    Record<'fleet_secret' | 'fleet_secret_file' | 'fleet_secret_environment', string | undefined>
  >
>;

type ReadSecret = () => string | undefined;

function tryRead(readFile: (path: string) => string, path: string): string | undefined {
  try {
    return readFile(path).trim();
  } catch {
    return undefined;
  }
}

/**
 * Reads the fleet secret from the source that the settings specify: a value, a file or an environment variable. At most
 * one source is allowed; the default is the environment variable BUCKTHORNSLIP_FLEET_SECRET.
 *
 * @param sources - The settings that specify a source.
 * @param environment - Environment variables.
 * @param readFile - Reads a text file; throws if it cannot.
 * @returns The secret, or an issue, which never contains the secret.
 * @public
 */
export function readFleetSecret(
  sources: Sources,
  environment: Readonly<Record<string, string | undefined>>,
  readFile: (path: string) => string,
): Result<string, readonly ConfigurationIssue[]> {
  const { fleet_secret: value, fleet_secret_file: file } = sources;
  const variable = sources.fleet_secret_environment;
  const candidates: (readonly [string, ReadSecret])[] = [];
  if (value !== undefined) candidates.push(['fleet_secret', () => value]);
  if (file !== undefined) candidates.push(['fleet_secret_file', () => tryRead(readFile, file)]);
  if (variable !== undefined) {
    candidates.push(['fleet_secret_environment', () => environment[variable]?.trim()]);
  }
  const [path, read] = candidates[0] ?? [
    DEFAULT_VARIABLE,
    () => environment[DEFAULT_VARIABLE]?.trim(),
  ];
  const invalid = (message: string) => failure([{ path, message }]);
  if (candidates.length > 1) return invalid('the fleet secret has more than one source');
  const secret = read();
  if (secret === undefined) return invalid('the fleet secret cannot be read from this source');
  const isLongEnough = Buffer.byteLength(secret) >= MINIMUM_SECRET_BYTES;
  if (!isLongEnough)
    return invalid(`the fleet secret is shorter than ${MINIMUM_SECRET_BYTES} bytes`);
  return success(secret);
}
