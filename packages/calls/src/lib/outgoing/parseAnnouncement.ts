import type { Result } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';
import type { Announcement } from '@buckthornslip/membership';

import type { AnnouncementError } from './AnnouncementError';
import { announcementSchema } from './announcementSchema';

function parseJson(text: string): Result<unknown, AnnouncementError> {
  try {
    return success(JSON.parse(text) as unknown);
  } catch {
    return failure({ kind: 'invalid-json' });
  }
}

/**
 * Parses and validates an announcement.
 *
 * @param text - JSON text.
 * @returns The announcement, or all validation errors.
 * @internal
 */
export function parseAnnouncement(text: string): Result<Announcement, AnnouncementError> {
  const json = parseJson(text);
  if (!json.ok) return json;
  const parsed = announcementSchema.safeParse(json.value);
  if (parsed.success) return success(parsed.data);
  const errors = parsed.error.issues.map((issue) => ({
    path: issue.path.join('.'),
    message: issue.message,
  }));
  return failure({ kind: 'invalid-announcement', errors });
}
