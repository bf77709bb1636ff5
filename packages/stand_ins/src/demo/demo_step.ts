/**
 * One step of the demo.
 */
export interface DemoStep {
  readonly name: string;
  /** Runs the step and returns a summary to print; rejects when the step fails. */
  readonly run: () => Promise<string>;
}
