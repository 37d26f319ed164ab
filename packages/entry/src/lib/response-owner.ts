/**
 * Lets only one attempt of a request stream to the caller.
 *
 * A hedged request has two running attempts. The first one to start streaming
 * owns the response; the other one is cancelled.
 */
export class ResponseOwner {
  private owner: object | undefined;

  static create(): ResponseOwner {
    return new ResponseOwner();
  }

  /** True if `attempt` is or becomes the owner. */
  claim(attempt: object): boolean {
    this.owner ??= attempt;
    return this.owner === attempt;
  }
}
