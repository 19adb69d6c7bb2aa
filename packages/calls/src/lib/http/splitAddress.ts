/**
 * Splits "address:port". An IPv6 address is in brackets.
 *
 * @param address - The address.
 * @returns The host without brackets, and the port.
 * @internal
 */
export function splitAddress(address: string): { readonly host: string; readonly port: number } {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(colon + 1)) };
}
