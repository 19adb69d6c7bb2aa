/**
 * Why an announcement was rejected.
 *
 * @public
 */
export type AnnouncementError =
  | { readonly kind: 'invalid-json' }
  | {
      readonly kind: 'invalid-announcement';
      readonly errors: readonly { readonly path: string; readonly message: string }[];
    };
