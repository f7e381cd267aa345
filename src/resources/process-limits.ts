/** Limits of a process, computed once from what its VM has. */

const MIB = 1024 * 1024

/** Bytes of all buffers together when the memory of the VM is unknown, and at most. */
const MAX_BUFFER_BYTES = 128 * MIB

/** Bytes of all buffers together at least: a few bodies of the largest size are served on any VM. */
const MIN_BUFFER_BYTES = 12 * MIB

/** By how much a process grows beyond its size at the start without any buffers: compiled code, tables of the deployment. */
const GROWTH_BYTES = 36 * MIB

/**
 * Memory of a VM below which V8 is set to need little of it: optimizing the HTTP parser, which is WebAssembly, takes 35 MB for
 * a moment, and buffers that are freed in the background keep as much.
 */
const SMALL_VM_BYTES = 256 * MIB

/** Share of the memory of a VM that is left free, for what is not counted. */
const FREE_SHARE = 0.06

/** Share of the remaining memory that buffers may hold; the rest is for buffers that are not collected yet. */
const BUFFER_SHARE = 0.45

/**
 * Shares of the buffers' limit after which buffers are collected: the ones of reads, which are recent, and released ones, for
 * which the whole heap is collected; and the most bytes for both.
 */
const RECEIVED_SHARE = 0.15
const RELEASED_SHARE = 0.4
const MAX_BYTES_BEFORE_COLLECTION = 32 * MIB

/** Descriptors that the operators reserve for files. */
const FILE_DESCRIPTORS = 200

/** Descriptors for connections at least; with none nobody would be served. */
const MIN_CONNECTION_DESCRIPTORS = 64

/** Share of the other descriptors for connections of callers, and for those to targets; peers and the store use the rest. */
const CALLER_DESCRIPTOR_SHARE = 0.6
const TARGET_DESCRIPTOR_SHARE = 0.3

/** Requests at the same time, beyond which new ones are refused. */
const MAX_ACTIVE_REQUESTS = 1_500

/** What a VM has; undefined when it is not known. */
export interface VmLimits {
  readonly memoryBytes?: number | undefined
  readonly descriptors?: number | undefined
}

/** Limits of a process; infinite for those that are not known. */
export interface ProcessLimits {
  /** Bytes of all buffers together. */
  readonly bufferBytes: number
  /** Resident bytes beyond which buffers are dropped although they are within their limit. */
  readonly residentBytes: number
  /** Received bytes after which unused buffers are collected. */
  readonly receivedBeforeCollection: number
  /** Released bytes after which the whole heap is collected. */
  readonly releasedBeforeCollection: number
  /** Requests being handled beyond which new ones are refused. */
  readonly activeRequests: number
  readonly callerConnections: number
  readonly targetConnections: number
  /** Whether V8 is set to need little memory, at the cost of time. */
  readonly savesMemory: boolean
}

/** Computes the limits of a process that has `residentBytes` at its start. */
export function computeLimits (vm: VmLimits, residentBytes: number): ProcessLimits {
  const descriptors = vm.descriptors === undefined ? Infinity : Math.max(MIN_CONNECTION_DESCRIPTORS, vm.descriptors - FILE_DESCRIPTORS)
  const connections = { callerConnections: Math.floor(descriptors * CALLER_DESCRIPTOR_SHARE), targetConnections: Math.floor(descriptors * TARGET_DESCRIPTOR_SHARE) }
  if (vm.memoryBytes === undefined) {
    return { ...connections, bufferBytes: MAX_BUFFER_BYTES, residentBytes: Infinity, receivedBeforeCollection: Infinity, releasedBeforeCollection: Infinity, activeRequests: MAX_ACTIVE_REQUESTS, savesMemory: false }
  }
  const usableBytes = vm.memoryBytes * (1 - FREE_SHARE) - residentBytes - GROWTH_BYTES
  const bufferBytes = Math.max(MIN_BUFFER_BYTES, Math.min(MAX_BUFFER_BYTES, usableBytes * BUFFER_SHARE))
  return {
    ...connections,
    bufferBytes,
    residentBytes: vm.memoryBytes * (1 - FREE_SHARE),
    receivedBeforeCollection: Math.min(MAX_BYTES_BEFORE_COLLECTION, bufferBytes * RECEIVED_SHARE),
    releasedBeforeCollection: Math.min(MAX_BYTES_BEFORE_COLLECTION, bufferBytes * RELEASED_SHARE),
    activeRequests: MAX_ACTIVE_REQUESTS,
    savesMemory: vm.memoryBytes < SMALL_VM_BYTES
  }
}
