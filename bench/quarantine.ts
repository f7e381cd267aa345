/** Measures the quarantine of segments: processor time of a completed call, of a check, and memory with full bounds. */
import type * as calls from '../src/call/index.js'
import type * as exchange from '../src/exchange/index.js'
import * as log from '../src/log/index.js'
import * as quarantine from '../src/quarantine/index.js'
import * as time from '../src/time/index.js'
import type * as serving from '../src/serving/index.js'

/** Calls measured, shared segments of a prompt, and distinct segments. */
const CALLS = 200_000
const SEGMENTS_PER_CALL = 3
const DISTINCT_SEGMENTS = 20_000

/** Segments suspected and quarantined at once. */
const SUSPECTS = 2_048

const MEMBER: exchange.Link = { gateway: 'm', incarnation: '1', kind: 'member' }

function promptOf (index: number): calls.Prompt {
  const segments = Array.from({ length: SEGMENTS_PER_CALL }, (_, part) => ({ id: `segment-${(index * SEGMENTS_PER_CALL + part) % DISTINCT_SEGMENTS}`, tokens: 100 }))
  return { promptTokens: 400, outputTokens: 10, segments: [...segments, { id: `own-${index}`, tokens: 100 }] }
}

function targetOf (index: number): serving.TargetRecord {
  return { id: `i-${index}`, service: 's', address: '10.0.0.1:1', domain: 'd', slots: 8, leaving: false, preemptible: false, startedAt: 1_780_000_000_000 + index }
}

/** Microseconds of processor time for each of `count` runs of `fn`. */
function measureUs (count: number, fn: (index: number) => void): number {
  const start = process.cpuUsage()
  for (let index = 0; index < count; index++) fn(index)
  const { user, system } = process.cpuUsage(start)
  return (user + system) / count
}

function heapBytes (): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}

const clock = new time.VirtualTime()
const segments = new quarantine.SegmentQuarantine({ clock, selfName: 'g', gateways: () => ['g'], log: log.SILENT_LOGGER })
const prompts = Array.from({ length: 10_000 }, (_, index) => promptOf(index))
const emptyBytes = heapBytes()
const answeredUs = measureUs(CALLS, (index) => segments.noteAnswered(prompts[index % prompts.length]!))
const answeredBytes = heapBytes()
const admitUs = measureUs(CALLS, (index) => { segments.admit(prompts[index % prompts.length]!, new Set()) })
for (let crash = 0; crash < 3; crash++) {
  for (let index = 0; index < SUSPECTS; index++) {
    const prompt: calls.Prompt = { promptTokens: 10, outputTokens: 1, segments: [{ id: `bad-${index}`, tokens: 5 }, { id: 'own', tokens: 5 }] }
    segments.noteLost({ prompt, target: targetOf(crash * SUSPECTS + index), sentAt: clock.now(), firstEventAt: undefined })
  }
}
const fullBytes = heapBytes()
const first = segments.changesSince(MEMBER, undefined)!
const scanUs = measureUs(CALLS, () => { segments.changesSince(MEMBER, first.next + 1_000_000) })
console.log(`a completed call with ${SEGMENTS_PER_CALL} shared segments: ${answeredUs.toFixed(2)} us; a check: ${admitUs.toFixed(2)} us; an exchange that looks at ${SUSPECTS} suspects: ${scanUs.toFixed(1)} us`)
console.log(`memory: completed segments ${((answeredBytes - emptyBytes) / 2 ** 20).toFixed(2)} MiB, ${SUSPECTS} quarantined ones ${((fullBytes - answeredBytes) / 2 ** 20).toFixed(2)} MiB; a message of 200: ${JSON.stringify(first.payload).length} characters`)
