/**
 * @param value - A value of any type.
 * @param maximum - Largest allowed number.
 * @returns Whether the value is a whole number from 0 to the maximum.
 * @public
 */
export function isCount(value: unknown, maximum: number): value is number {
  return Number.isInteger(value) && Number(value) >= 0 && Number(value) <= maximum;
}
