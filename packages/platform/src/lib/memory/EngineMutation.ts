/**
 * A write within a transaction of the storage engine.
 *
 * @internal
 */
export type EngineMutation =
  | {
      readonly kind: 'put';
      readonly key: string;
      readonly value: Uint8Array;
      readonly leaseId: number;
    }
  | { readonly kind: 'remove'; readonly key: string };
