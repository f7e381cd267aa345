/** A limit on the bytes that are buffered for many requests together. */

/** Counts buffered bytes. It refuses nothing by itself: who adds bytes checks `isFull`. */
export class ByteBudget {
  private bytes = 0

  constructor (private readonly maxBytes: number) {}

  /** Bytes buffered now. */
  get heldBytes (): number {
    return this.bytes
  }

  get isFull (): boolean {
    return this.bytes > this.maxBytes
  }

  take (bytes: number): void {
    this.bytes += bytes
  }

  release (bytes: number): void {
    this.bytes -= bytes
  }
}
