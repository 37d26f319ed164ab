/** Exit codes of `fireflytrack`, documented in docs/configuration.md. */
export const EXIT_CODES = {
  done: 0,
  /** The operation was refused or failed, or the command line is wrong. */
  failed: 1,
  /** The configuration text is not valid or the file cannot be read. */
  invalid: 2,
  /** Accepted, but not in force on all instances within the given time. */
  pending: 3,
  /** The change is not based on the current version. */
  conflict: 4,
  /** No response, or the store is unavailable; nothing was changed. */
  unavailable: 5,
  /** The change may have been made; retry it with the same change id. */
  unknown: 6,
  /** The compared texts differ. */
  differs: 7,
} as const;

export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];
