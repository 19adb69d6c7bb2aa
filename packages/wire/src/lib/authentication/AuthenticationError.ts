/**
 * A gRPC message lacks a valid message authentication code.
 *
 * @public
 */
export class AuthenticationError extends Error {
  public readonly kind = 'not-authentic';

  /**
   * @param path - Path of the gRPC method.
   */
  public constructor(path: string) {
    super(`message of ${path} has no valid authentication code`);
    this.name = 'AuthenticationError';
  }
}
