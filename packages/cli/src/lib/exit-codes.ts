/** Exit codes of `fireflytrack`; docs/configuration.md lists them. */
export const EXIT_CODES = {
  done: 0,
  /** The operation was refused or failed, or the command line is wrong. */
  failed: 1,
  /** The configuration text is not valid or the file cannot be read. */
  invalid: 2,
  /** Accepted, but not in force everywhere within the time given. */
  pending: 3,
  /** The change was based on another version than the current one. */
  conflict: 4,
  /** No answer, or the store cannot be used now; nothing was changed. */
  unavailable: 5,
  /** The change may have been made: repeat it with the same change id. */
  unknown: 6,
  /** The compared texts differ. */
  differs: 7,
} as const;

export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];
