import * as z from 'zod';

/**
 * Schema of a prefix of whole path segments, in the encoded form of request paths so that matching needs no decoding.
 *
 * @internal
 */
export const pathPrefixSchema = z
  .string()
  .regex(/^\/([A-Za-z0-9._~!$&'()*+,;=:@-]+(\/[A-Za-z0-9._~!$&'()*+,;=:@-]+)*)?$/, {
    message: 'use a path such as "/statements", without a trailing slash, query or escapes',
  })
  .refine((path) => path.split('/').every((segment) => segment !== '.' && segment !== '..'), {
    message: 'the segments "." and ".." are not allowed',
  });
