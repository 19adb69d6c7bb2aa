import type { HostId, RegionId, Result, ZoneId } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';

import type { ConfigurationIssue } from '../issues/ConfigurationIssue';
import { listSchemaIssues } from '../issues/listSchemaIssues';
import { readToml } from '../toml/readToml';
import type { NodeSettings } from './NodeSettings';
import { readFleetSecret } from './readFleetSecret';
import type { SettingsDocument } from './settingsSchema';
import { settingsSchema } from './settingsSchema';

function pickStrings(document: Readonly<Record<string, unknown>>): Record<string, string> {
  const entries = Object.entries(document).filter(
    (entry): entry is [string, string] => typeof entry[1] === 'string',
  );
  return Object.fromEntries(entries);
}

function buildSettings(document: SettingsDocument, fleetSecret: string): NodeSettings {
  return {
    host: document.host as HostId,
    region: document.region as RegionId,
    zone: document.zone as ZoneId,
    listeners: document.listeners,
    storeEndpoints: document.store.endpoints,
    seeds: document.seeds,
    fleetSecret,
    stopLimitMilliseconds: document.stop_limit_milliseconds,
    freshnessLimitMilliseconds: document.freshness_limit_milliseconds,
    logLevel: document.log_level,
  };
}

/**
 * Parses and validates the settings of a node.
 *
 * @param tomlText - The settings as TOML.
 * @param environment - Environment variables, one of which may hold the fleet secret.
 * @param readFile - Reads a text file that may hold the fleet secret; throws if it cannot.
 * @returns The settings, or all their issues.
 * @public
 */
export function parseNodeSettings(
  tomlText: string,
  environment: Readonly<Record<string, string | undefined>>,
  readFile: (path: string) => string,
): Result<NodeSettings, readonly ConfigurationIssue[]> {
  const toml = readToml(tomlText);
  if (!toml.ok) return toml;
  const parsed = settingsSchema.safeParse(toml.value);
  const secret = readFleetSecret(pickStrings(toml.value), environment, readFile);
  if (!parsed.success) {
    return failure([...listSchemaIssues(parsed.error), ...(secret.ok ? [] : secret.error)]);
  }
  return secret.ok ? success(buildSettings(parsed.data, secret.value)) : secret;
}
