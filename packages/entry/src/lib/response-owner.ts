/**
 * Lets only one attempt of a request stream to the caller.
 *
 * With a hedge two attempts run; the first that starts to stream owns the
 * response and the other one has lost.
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
