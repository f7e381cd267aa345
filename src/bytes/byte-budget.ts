/** A limit on the bytes that are buffered for many requests together. */

/** Bytes up to which a holder may use the reserve of a budget: large holders must not fail all others. */
const MAX_SMALL_HOLDER_BYTES = 64 * 1024

/** Options of a budget. */
export interface ByteBudgetOptions {
  /** Budget that this one is a part of: bytes count in both. */
  readonly parent?: ByteBudget | undefined
  /** Bytes beyond the limit that only small holders may use. */
  readonly reserveBytes?: number | undefined
}

/** Counts buffered bytes. It refuses nothing by itself: who adds bytes checks `isFull` or `refuses`. */
export class ByteBudget {
  private bytes = 0
  private readonly parent: ByteBudget | undefined
  private readonly reserveBytes: number

  constructor (readonly maxBytes: number, options: ByteBudgetOptions = {}) {
    this.parent = options.parent
    this.reserveBytes = options.reserveBytes ?? 0
  }

  /** Bytes buffered now. */
  get heldBytes (): number {
    return this.bytes
  }

  /** Whether the limit of this budget, or of one that it is a part of, is exceeded. */
  get isFull (): boolean {
    return this.bytes > this.maxBytes || this.parent?.isFull === true
  }

  /** Whether a holder of `heldBytes`, which are counted already, must release them. */
  refuses (heldBytes: number): boolean {
    const usable = heldBytes > MAX_SMALL_HOLDER_BYTES ? this.maxBytes : this.maxBytes + this.reserveBytes
    return this.bytes > usable || this.parent?.refuses(heldBytes) === true
  }

  take (bytes: number): void {
    this.bytes += bytes
    this.parent?.take(bytes)
  }

  release (bytes: number): void {
    this.bytes -= bytes
    this.parent?.release(bytes)
  }
}
