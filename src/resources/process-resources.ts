/** Memory and descriptors of this process: the limits, and what keeps the process within them. */
import type * as log from '../log/index.js'
import type * as metrics from '../metrics/index.js'
import type * as time from '../time/index.js'
import * as bufferMemory from './buffer-memory.js'
import * as processLimits from './process-limits.js'

/** Interval at which the resident size is measured, in ms. */
const CHECK_INTERVAL_MS = 250

/** Least time between two reductions of the buffers because the process is too large, in ms. */
const MIN_HIGH_INTERVAL_MS = 500

/** Share of the limit on the resident size from which on released buffers are collected; below it V8 decides. */
const COLLECTION_SIZE_SHARE = 0.8

/** Share of the usual released bytes after which the heap is collected while the process is too large. */
const HIGH_RELEASED_SHARE = 0.25

/** Share of the buffers' limit that they may hold while the process is too large nevertheless. */
const HIGH_MEMORY_BUFFER_SHARE = 0.4

/** Which objects are collected: those allocated recently, or all that are unused. */
export type CollectionKind = 'minor' | 'major'

/** Bytes of the heap that are in use, uncollected objects included, and the limit at which the process ends. */
export interface HeapSize {
  readonly usedBytes: number
  readonly limitBytes: number
}

/** Size of this process, and its garbage collector. */
export interface ProcessMemory {
  /** Resident bytes. */
  readonly residentBytes: () => number
  readonly heapSize: () => HeapSize
  /** Collects unused objects; does nothing when Node runs without the flag for it. */
  readonly collect: (kind: CollectionKind) => void
}

/** Dependencies of the resources. */
export interface ProcessResourcesDeps {
  readonly limits: processLimits.ProcessLimits
  readonly process: ProcessMemory
  readonly env: Pick<time.Env, 'clock' | 'timers'>
  readonly log: log.Logger
  readonly metrics: Pick<metrics.Metrics, 'count' | 'set'>
}

/** What the components of a process share. */
export class ProcessResources implements Disposable {
  readonly limits: processLimits.ProcessLimits
  readonly buffers: bufferMemory.BufferMemory
  private receivedBytes = 0
  private highAt = -Infinity
  private releasedAtCollection = 0
  private timer: Disposable | undefined

  constructor (private readonly deps: ProcessResourcesDeps) {
    this.limits = deps.limits
    this.buffers = new bufferMemory.BufferMemory(deps.limits.bufferBytes)
  }

  /** Starts to watch the resident size, when it has a limit. */
  start (): void {
    if (!Number.isFinite(this.limits.residentBytes)) return
    this.timer = this.deps.env.timers.every(CHECK_INTERVAL_MS, () => this.checkSize())
  }

  /**
   * Notes bytes that were read from a connection. The buffers of reads lie outside of the heap: V8 would collect them after
   * 64 MB, which a small VM does not have.
   */
  noteReceived (bytes: number): void {
    this.receivedBytes += bytes
    if (this.receivedBytes < this.limits.receivedBeforeCollection) return
    this.receivedBytes = 0
    this.deps.process.collect('minor')
    this.checkSize()
  }

  /** Sets the gauges of the memory of the process. */
  recordSizes (): void {
    const { process, metrics } = this.deps
    const { usedBytes, limitBytes } = process.heapSize()
    metrics.set('godwitpoint_resident_bytes', '', process.residentBytes())
    metrics.set('godwitpoint_heap_bytes', '', usedBytes)
    metrics.set('godwitpoint_heap_limit_bytes', '', limitBytes)
    metrics.set('godwitpoint_buffered_bytes', '', this.buffers.heldBytes)
  }

  [Symbol.dispose] (): void {
    this.timer?.[Symbol.dispose]()
  }

  private checkSize (): void {
    const residentBytes = this.deps.process.residentBytes()
    const isHigh = residentBytes > this.limits.residentBytes
    if (isHigh && this.deps.env.clock.now() - this.highAt >= MIN_HIGH_INTERVAL_MS) this.noteHigh(residentBytes)
    if (residentBytes < this.limits.residentBytes * COLLECTION_SIZE_SHARE) return
    const releasedBytes = this.buffers.releasedBytes - this.releasedAtCollection
    if (releasedBytes < this.limits.releasedBeforeCollection * (isHigh ? HIGH_RELEASED_SHARE : 1)) return
    this.releasedAtCollection = this.buffers.releasedBytes
    this.deps.process.collect('major')
  }

  private noteHigh (residentBytes: number): void {
    this.highAt = this.deps.env.clock.now()
    this.deps.metrics.count('godwitpoint_memory_high_total')
    const { usedBytes } = this.deps.process.heapSize()
    this.deps.log.warn({ resident_bytes: residentBytes, limit_bytes: Math.round(this.limits.residentBytes), buffered_bytes: this.buffers.heldBytes, heap_bytes: usedBytes }, 'memory_high')
    // Connections are dropped when nothing is being parsed.
    setImmediate(() => this.buffers.reclaimTo(HIGH_MEMORY_BUFFER_SHARE))
  }
}

/** Memory of a process that is not measured. */
export const NOT_MEASURED: ProcessMemory = { residentBytes: () => 0, heapSize: () => ({ usedBytes: 0, limitBytes: 0 }), collect: () => {} }

/** Resources of a process whose VM is not known: the limits are constants, and nothing is measured. */
export function ofUnknownVm (deps: Pick<ProcessResourcesDeps, 'env' | 'log' | 'metrics'>): ProcessResources {
  return new ProcessResources({ ...deps, limits: processLimits.computeLimits({}, 0), process: NOT_MEASURED })
}
