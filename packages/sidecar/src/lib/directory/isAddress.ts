const ADDRESS = /^[^:\s]+:(\d{1,5})$/;

const MAXIMUM_PORT = 65_535;

/**
 * @param value - A value of any type.
 * @returns Whether it is an "address:port" that a socket can be opened to.
 * @public
 */
export function isAddress(value: unknown): value is string {
  const port = typeof value === 'string' ? ADDRESS.exec(value)?.[1] : undefined;
  return port !== undefined && Number(port) > 0 && Number(port) <= MAXIMUM_PORT;
}
