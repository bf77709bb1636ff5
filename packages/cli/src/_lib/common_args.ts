/** Arguments of every command. */
export const jsonArg = {
  json: {
    type: 'boolean',
    description: 'Write JSON instead of a table.',
    default: false,
  },
} as const;

/** Arguments of commands that use the operator API. */
export const operatorArgs = {
  ...jsonArg,
  url: {
    type: 'string',
    description:
      "URL of an instance's operators port; default: PAPAYARUN_OPERATORS_URL.",
  },
  'key-file': {
    type: 'string',
    description: 'File with the operator key; default: PAPAYARUN_KEY_FILE.',
  },
} as const;

/** Arguments of commands that use the caller API. */
export const callerArgs = {
  ...jsonArg,
  url: {
    type: 'string',
    description:
      "URL of an instance's callers port; default: PAPAYARUN_CALLERS_URL.",
  },
} as const;
