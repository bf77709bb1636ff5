/**
 * One step of the demo: prints what happened, throws when it failed.
 */
export interface DemoStep {
  readonly name: string;
  readonly run: () => Promise<string>;
}
