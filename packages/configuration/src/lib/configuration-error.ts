/** Errors of changes to the configuration and to the set of team keys. */

export type ConfigurationError =
  /** The change was based on another version than the one in force. */
  | {kind: 'conflict'; currentVersion: number; message: string}
  /** The text, or the change itself, is not acceptable. */
  | {kind: 'invalid'; message: string}
  /** Nothing was changed: the store cannot be used now. */
  | {kind: 'store-unavailable'; message: string}
  /** The change may or may not have taken effect: ask by its change id. */
  | {kind: 'outcome-unknown'; message: string};
