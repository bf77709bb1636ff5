/**
 * Memory of one request, from its headers to the end of its response.
 */
export interface Transfer {
  /**
   * Sets the memory that the request takes. To grow it, slower transfers may be
   * ended.
   *
   * @returns False if there is too little memory; the former size stays.
   */
  reserve(bytes: number): boolean;
  /** Sets the memory that the request takes, also beyond the budget. */
  force(bytes: number): void;
  /** Notes that a piece of the body has arrived. */
  received(bytes: number): void;
  /** The body is whole. From now on the request may run, so it is not ended. */
  startHandling(): void;
  /** The response is being sent, whose receiver may be slow. */
  startSending(bytes: number): void;
  /** Gives the memory back. */
  release(): void;
}
