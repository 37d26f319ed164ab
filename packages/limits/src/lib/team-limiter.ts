/** Admission of a team's requests under its rate and burst. */

export type Admission =
  | {admitted: true}
  /** Refused; the team may try again after `retryAfterMs`. */
  | {admitted: false; retryAfterMs: number};

export interface TeamLimiter {
  /**
   * Takes one token of the team. Returns synchronously when tokens are
   * available, and otherwise a promise.
   */
  admit(teamName: string): Admission | Promise<Admission>;
}
