declare const brand: unique symbol;

/**
 * A nominal subtype of a base type, so that ids of different kinds are not interchangeable.
 *
 * @public
 */
export type Brand<Base, Name extends string> = Base & { readonly [brand]: Name };
