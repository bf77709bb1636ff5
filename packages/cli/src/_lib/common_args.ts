/** Arguments that every command has. */
export const jsonArg = {
  json: {
    type: 'boolean',
    description: 'Write JSON instead of a table.',
    default: false,
  },
} as const;

/** Arguments of commands for operators. */
export const operatorArgs = {
  ...jsonArg,
  url: {
    type: 'string',
    description:
      "Address of an instance's operators' port; else PAPAYARUN_OPERATORS_URL.",
  },
  'key-file': {
    type: 'string',
    description: 'File with the operators key; else PAPAYARUN_KEY_FILE.',
  },
} as const;

/** Arguments of commands for callers. */
export const callerArgs = {
  ...jsonArg,
  url: {
    type: 'string',
    description:
      "Address of an instance's callers' port; else PAPAYARUN_CALLERS_URL.",
  },
} as const;
