import type {Policy} from '@papayarun/dispatch';
import type {CallerId, KindId, ServiceId, TeamId} from '@papayarun/protocol';
import type {ControlState, ControlStore} from '@papayarun/releases';

const DEFAULT_KIND = 'default';
const DEFAULT_WEIGHT = 1;

/**
 * Dispatching policy read from the release in force.
 */
export class ReleasePolicy implements Policy {
  private sumOf: ControlState | undefined;
  private sum = DEFAULT_WEIGHT;

  private constructor(private readonly store: ControlStore) {}

  /**
   * Makes the policy.
   *
   * @param store - State in force.
   * @returns The policy.
   * @example
   * const policy = ReleasePolicy.create(store);
   */
  static create(store: ControlStore): ReleasePolicy {
    return new ReleasePolicy(store);
  }

  release(): number {
    return this.store.state.release;
  }

  /** The kind if it is declared, else the kind for undeclared work. */
  declaredKind(kind: string): KindId {
    return (
      this.value(`kind:${kind}`) === undefined ? DEFAULT_KIND : kind
    ) as KindId;
  }

  weightOf(kind: KindId): number {
    return (
      this.value<{weight: number}>(`kind:${kind}`)?.weight ?? DEFAULT_WEIGHT
    );
  }

  totalWeight(): number {
    const {state} = this.store;
    if (this.sumOf !== state) {
      const kinds = Object.keys(state.entries).filter(name =>
        name.startsWith('kind:'),
      );
      const declared = kinds.map(name =>
        this.weightOf(name.slice('kind:'.length) as KindId),
      );
      const hasDefault = kinds.includes(`kind:${DEFAULT_KIND}`);
      this.sum = declared.reduce(
        (sum, w) => sum + w,
        hasDefault ? 0 : DEFAULT_WEIGHT,
      );
      this.sumOf = state;
    }
    return this.sum;
  }

  teamFraction(team: TeamId): number {
    return this.value<{fraction: number}>(`team:${team}`)?.fraction ?? 1;
  }

  callerFraction(caller: CallerId): number {
    return this.value<{fraction: number}>(`caller:${caller}`)?.fraction ?? 1;
  }

  whenCutOff(service: ServiceId): 'serve' | 'refuse' {
    const value = this.value<{whenCutOff: 'serve' | 'refuse'}>(
      `service:${service}`,
    );
    return value?.whenCutOff ?? 'serve';
  }

  private value<T>(name: string): T | undefined {
    const {entries} = this.store.state;
    return Object.hasOwn(entries, name)
      ? (entries[name]!.value as T)
      : undefined;
  }
}
