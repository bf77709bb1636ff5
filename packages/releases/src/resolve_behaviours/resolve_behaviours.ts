import type {ControlState} from '../control_state/control_state.js';

const PREFIX = 'behaviour:';

/**
 * Behaviours that a customer meets under the latest release.
 *
 * @description A customer's choice counts only while the behaviour it was
 * made for is in force: after a withdrawal, also if the name was added again,
 * the release's own value stands.
 * @param state - State in force.
 * @param customer - Customer, maybe unknown or away for long.
 * @returns Value by behaviour name, without the category.
 * @throws Never.
 * @example
 * resolveBehaviours(state, 'guest-17'); // {reminders: 'text'}
 */
export function resolveBehaviours(
  state: ControlState,
  customer: string,
): Record<string, unknown> {
  const choices = Object.hasOwn(state.customers, customer)
    ? state.customers[customer]
    : undefined;
  const resolved: Record<string, unknown> = {};
  for (const [name, entry] of Object.entries(state.entries)) {
    if (!name.startsWith(PREFIX)) {
      continue;
    }
    const choice =
      choices && Object.hasOwn(choices, name) ? choices[name] : undefined;
    const isValid = choice !== undefined && choice.since === entry.since;
    resolved[name.slice(PREFIX.length)] = isValid ? choice.value : entry.value;
  }
  return resolved;
}
