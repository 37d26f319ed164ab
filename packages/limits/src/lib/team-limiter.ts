/** Admission of a team's requests under its rate and burst. */

export type Admission =
  | {admitted: true}
  /** Refused; the team may retry after `retryAfterMs`. */
  | {admitted: false; retryAfterMs: number};

export interface TeamLimiter {
  /**
   * Takes one of the team's tokens, or refuses the request. Returns
   * synchronously if the decision is possible at once, and a promise otherwise.
   */
  admit(teamName: string): Admission | Promise<Admission>;
}
