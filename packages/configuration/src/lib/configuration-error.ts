/** Errors of changes to the configuration and to the set of team keys. */

export type ConfigurationError =
  /** The change was based on another version than the current one. */
  | {kind: 'conflict'; currentVersion: number; message: string}
  /** The text or the change is invalid. */
  | {kind: 'invalid'; message: string}
  /** Nothing was changed: the store is unavailable. */
  | {kind: 'store-unavailable'; message: string}
  /** The change may have taken effect: read it by its change id. */
  | {kind: 'outcome-unknown'; message: string};
