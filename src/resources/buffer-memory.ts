/** Memory of all buffers of a process. */
import * as bytes from '../bytes/index.js'

/** Share of the limit beyond which buffers are dropped, and share down to which they are. */
const RECLAIM_SHARE = 0.85
const RECLAIMED_SHARE = 0.7

/** Share of the limit that only small holders may use beyond it. */
const RESERVE_SHARE = 0.15

/** Drops buffers of at least `bytes` in all, those with the least progress first, as far as there are any. */
export type DropBuffers = (bytes: number) => void

/** The budget of all buffers; asks for buffers to be dropped before it is full. */
export class BufferMemory extends bytes.ByteBudget {
  private reclaiming = false

  /** Bytes released so far; the buffers exist until they are collected. */
  releasedBytes = 0

  /** Drops buffers; nothing is dropped until it is set. */
  dropBuffers: DropBuffers = () => {}

  constructor (maxBytes: number) {
    super(maxBytes, { reserveBytes: maxBytes * RESERVE_SHARE })
  }

  override take (size: number): void {
    super.take(size)
    if (this.reclaiming || this.heldBytes <= this.maxBytes * RECLAIM_SHARE) return
    this.reclaiming = true
    // Whoever has just taken bytes is still using them.
    queueMicrotask(() => {
      this.reclaiming = false
      this.reclaimTo(RECLAIMED_SHARE)
    })
  }

  override release (size: number): void {
    super.release(size)
    this.releasedBytes += size
  }

  /** Releases bytes of objects in the heap, which V8 collects by itself. */
  releaseObjects (size: number): void {
    super.release(size)
  }

  /** Has buffers dropped until at most `share` of the limit is held. */
  reclaimTo (share: number): void {
    const excess = this.heldBytes - this.maxBytes * share
    if (excess > 0) this.dropBuffers(excess)
  }
}
