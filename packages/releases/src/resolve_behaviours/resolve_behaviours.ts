import type {ControlState} from '../control_state/control_state.js';

const BEHAVIOUR_PREFIX = 'behaviour:';

/**
 * Resolves the behaviours of a customer under the latest release.
 *
 * @description A customer's choice applies only while the behaviour that it was
 * made for is in force. After a withdrawal the choice is ignored, even if the
 * name is added again, and the value of the release applies.
 * @param state - Current control state.
 * @param customer - Customer; may be unknown, or have made choices long ago.
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
    if (!name.startsWith(BEHAVIOUR_PREFIX)) {
      continue;
    }
    const choice =
      choices && Object.hasOwn(choices, name) ? choices[name] : undefined;
    const isChoiceInForce =
      choice !== undefined && choice.since === entry.since;
    resolved[name.slice(BEHAVIOUR_PREFIX.length)] = isChoiceInForce
      ? choice.value
      : entry.value;
  }
  return resolved;
}
