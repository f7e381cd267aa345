/** Measures the cache estimates of many targets: memory of an empty one and of a segment, processor time of an update and of a read. */
import * as fleet from '../src/fleet/index.js'

/** Targets, segments tracked for each, and updates and reads measured. */
const TARGETS = 140
const SEGMENTS = 300
const OPERATIONS = 1_000_000

const TOKENS = 16

/** First id of a segment; ids have eight hexadecimal digits. */
const FIRST_ID = 0x10000000

/** A string of its own, as it would be of a segment that no other target has. */
function idOf (index: number): string {
  return Buffer.from((FIRST_ID + index).toString(16)).toString('latin1')
}

/** Nanoseconds of processor time for each of `count` runs of `fn`. */
function measureNs (count: number, fn: (index: number) => void): number {
  const start = process.cpuUsage()
  for (let index = 0; index < count; index++) fn(index)
  const { user, system } = process.cpuUsage(start)
  return (user + system) * 1_000 / count
}

function heapBytes (): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}

const startBytes = heapBytes()
const estimates = Array.from({ length: TARGETS }, () => new fleet.CacheEstimate())
const emptyBytes = heapBytes()
for (const [target, estimate] of estimates.entries()) {
  for (let index = 0; index < SEGMENTS; index++) estimate.applyReport(idOf(target * SEGMENTS + index), TOKENS)
}
const filledBytes = heapBytes()
const ids = Array.from({ length: TARGETS * SEGMENTS }, (_, index) => idOf(index))
const beforeUpdatesBytes = heapBytes()
const updateNs = measureNs(OPERATIONS, (index) => {
  const segment = index % ids.length
  estimates[Math.floor(segment / SEGMENTS)]!.applyReport(ids[segment]!, TOKENS)
})
const updatedBytes = heapBytes()
const readNs = measureNs(OPERATIONS, (index) => { estimates[index % TARGETS]!.tokensOf(ids[index % ids.length]!) })
console.log(`an empty estimate: ${((emptyBytes - startBytes) / TARGETS).toFixed(0)} bytes; a segment with its id: ${((filledBytes - emptyBytes) / (TARGETS * SEGMENTS)).toFixed(0)} bytes`)
console.log(`an update: ${updateNs.toFixed(0)} ns, leaves ${((updatedBytes - beforeUpdatesBytes) / OPERATIONS).toFixed(1)} bytes; a read: ${readNs.toFixed(0)} ns`)
