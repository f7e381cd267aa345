/** Buffers bytes that arrive in pieces of any size. */
import type * as byteBudget from './byte-budget.js'

/** Size up to which the blocks of a collector grow, in bytes. */
const MAX_BLOCK_BYTES = 64 * 1024

/**
 * Copies pieces into blocks of growing size. A view of a piece would cost a `Buffer` of over 100 bytes and keep the whole
 * read alive that the piece came with, so a limit on the bytes would not limit the memory. Time and memory are proportional
 * to the bytes here, also when each piece has a single one.
 */
export class ByteCollector implements Disposable {
  private blocks: Buffer[] = []
  private bytes = 0
  /** Unused bytes at the end of the last block. */
  private freeBytes = 0

  /** Buffers up to `maxBytes`; the bytes count in `budget` until they are taken or the collector is disposed. */
  constructor (private readonly maxBytes: number, private readonly budget?: byteBudget.ByteBudget) {}

  /** Number of buffered bytes. */
  get length (): number {
    return this.bytes
  }

  /** Adds a copy of a piece; returns false, and adds nothing of it, when it exceeds the limit. */
  add (piece: Uint8Array): boolean {
    if (this.bytes + piece.length > this.maxBytes) return false
    const fitting = Math.min(this.freeBytes, piece.length)
    this.append(piece, 0, fitting)
    if (fitting < piece.length) {
      this.addBlock(piece.length - fitting)
      this.append(piece, fitting, piece.length)
    }
    this.budget?.take(piece.length)
    return true
  }

  /** Returns the bytes and forgets them. */
  take (): Buffer {
    const taken = this.blocks.length === 1 ? this.blocks[0]!.subarray(0, this.bytes) : Buffer.concat(this.blocks, this.bytes)
    this[Symbol.dispose]()
    return taken
  }

  [Symbol.dispose] (): void {
    this.budget?.release(this.bytes)
    this.blocks = []
    this.bytes = 0
    this.freeBytes = 0
  }

  // The first block has the size of the first piece, as most bodies arrive in one.
  private addBlock (minBytes: number): void {
    const block = Buffer.allocUnsafe(Math.max(minBytes, Math.min(this.bytes, MAX_BLOCK_BYTES)))
    this.blocks.push(block)
    this.freeBytes = block.length
  }

  private append (piece: Uint8Array, start: number, end: number): void {
    if (start === end) return
    const block = this.blocks.at(-1)!
    block.set(piece.subarray(start, end), block.length - this.freeBytes)
    this.freeBytes -= end - start
    this.bytes += end - start
  }
}
