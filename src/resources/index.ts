/** Memory and descriptors of a process. */
export { computeLimits, type ProcessLimits, type VmLimits } from './process-limits.js'
export { BufferMemory, type DropBuffers } from './buffer-memory.js'
export { NOT_MEASURED, ofUnknownVm, ProcessResources, type CollectionKind, type HeapSize, type ProcessMemory, type ProcessResourcesDeps } from './process-resources.js'
