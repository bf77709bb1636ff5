import type {Policy} from '@papayarun/dispatch';
import type {CallerId, KindId, ServiceId, TeamId} from '@papayarun/protocol';
import type {ControlState, ControlStore} from '@papayarun/releases';

const DEFAULT_KIND = 'default';
const DEFAULT_WEIGHT = 1;

/**
 * Dispatch policy read from the current release.
 */
export class ReleasePolicy implements Policy {
  /** State that `cachedTotalWeight` was computed from. */
  private totalWeightState: ControlState | undefined;
  private cachedTotalWeight = DEFAULT_WEIGHT;

  private constructor(private readonly store: ControlStore) {}

  /**
   * Creates a policy.
   *
   * @param store - Store of the control state.
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

  /** The kind if it is declared, else the default kind for undeclared work. */
  resolveKind(kind: string): KindId {
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
    if (this.totalWeightState !== state) {
      const kinds = Object.keys(state.entries).filter(name =>
        name.startsWith('kind:'),
      );
      const declaredWeights = kinds.map(name =>
        this.weightOf(name.slice('kind:'.length) as KindId),
      );
      const hasDefault = kinds.includes(`kind:${DEFAULT_KIND}`);
      this.cachedTotalWeight = declaredWeights.reduce(
        (sum, weight) => sum + weight,
        hasDefault ? 0 : DEFAULT_WEIGHT,
      );
      this.totalWeightState = state;
    }
    return this.cachedTotalWeight;
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
