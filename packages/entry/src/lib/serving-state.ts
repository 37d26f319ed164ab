/** Whether this instance may serve requests now. */

export type ServingState =
  | 'serving'
  /** Cut off for so long that withdrawals may be unknown here. */
  | 'not-fresh'
  /** Past the bound of a planned stop. */
  | 'stopping';

export interface ServingGate {
  state(): ServingState;
}

/** Serves always; for tools and tests. */
export class OpenGate implements ServingGate {
  static create(): OpenGate {
    return new OpenGate();
  }

  state(): ServingState {
    return 'serving';
  }
}
