import type { LinkConnection } from './createLinkConnector';

/**
 * @param one - A connection.
 * @param other - A connection.
 * @returns Whether both continue the same session of the same process.
 * @internal
 */
export function isSameSession(one: LinkConnection, other: LinkConnection): boolean {
  return one.incarnation === other.incarnation && one.session === other.session;
}
