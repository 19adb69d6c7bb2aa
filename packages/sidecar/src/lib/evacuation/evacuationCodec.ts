import type { ZoneId } from '@buckthornslip/common';
import type { channelMessages } from '@buckthornslip/wire';

import type { EvacuationStatement } from './EvacuationStatement';
import { isZoneName } from './isZoneName';

/** Most zones in a message; a larger one is malformed. */
const MAXIMUM_ZONES = 1_024;

const isCounter = (value: number): boolean => Number.isSafeInteger(value) && value >= 0;

/**
 * @param statement - The orders that a message carries, if any.
 * @returns Their wire form.
 * @internal
 */
export function toEvacuationFields(
  statement: EvacuationStatement | undefined,
): channelMessages.Evacuations | undefined {
  return statement && { ...statement, zones: [...statement.zones] };
}

/**
 * @param fields - Orders in wire form, if the message carries any.
 * @returns The orders, or undefined if there are none or they are malformed.
 * @internal
 */
export function fromEvacuationFields(
  fields: channelMessages.Evacuations | undefined,
): EvacuationStatement | undefined {
  if (!fields) return undefined;
  const { era, revision, zones } = fields;
  const isValid =
    isCounter(era) &&
    isCounter(revision) &&
    zones.length <= MAXIMUM_ZONES &&
    zones.every(isZoneName);
  return isValid ? { era, revision, zones: new Set(zones as ZoneId[]) } : undefined;
}
