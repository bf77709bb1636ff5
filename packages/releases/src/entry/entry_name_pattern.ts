/**
 * Pattern of entry names: `category:name`.
 */
export const ENTRY_NAME_PATTERN =
  /^(kind|team|caller|service|behaviour):[a-z][a-z0-9-]{0,63}$/;
