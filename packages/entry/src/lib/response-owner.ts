/**
 * Ensures that only one attempt of a request streams its response to the caller.
 *
 * A hedged request has two running attempts. The first one to start streaming
 * owns the response; the other one is cancelled.
 */
export class ResponseOwner {
  private owner: object | undefined;

  static create(): ResponseOwner {
    return new ResponseOwner();
  }

  /** Makes `attempt` the owner if there is none; true if it is the owner. */
  claim(attempt: object): boolean {
    this.owner ??= attempt;
    return this.owner === attempt;
  }
}
