const BEARER = /^Bearer +([\x21-\x7e]{1,512})$/i;

/**
 * @param header - Value of the Authorization header.
 * @returns The bearer key, if the header contains one.
 * @internal
 */
export function bearerKey(header: string | undefined): string | undefined {
  return header === undefined ? undefined : BEARER.exec(header)?.[1];
}
