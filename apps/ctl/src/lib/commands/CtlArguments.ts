/**
 * Arguments and options of the command line. Arguments that a command doesn't take are empty.
 *
 * @internal
 */
export interface CtlArguments {
  readonly file: string;
  readonly account: string;
  readonly keyId: string;
  readonly requireRevision: number | undefined;
  readonly store: readonly string[];
  readonly nodes: readonly string[];
  readonly fleetSecretFile: string | undefined;
  readonly waitMilliseconds: number;
  readonly json: boolean;
}
