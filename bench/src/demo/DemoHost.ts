/**
 * Host of the demonstration, with a node and the upstream that it serves.
 */
export interface DemoHost {
  readonly host: string;
  readonly region: string;
  readonly zone: string;
  readonly service: string;
  readonly ports: {
    readonly callers: number;
    readonly outgoing: number;
    readonly peers: number;
    readonly control: number;
    readonly admin: number;
  };
}
