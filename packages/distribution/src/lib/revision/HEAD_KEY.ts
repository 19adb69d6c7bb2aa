/**
 * Store key of the head. All publishers update it by compare-and-swap.
 *
 * @public
 */
export const HEAD_KEY = 'config/head';
