/** Measures the time of one routing decision by number of targets: `node --import tsx bench/route.ts`. */
import { TwoChoiceRouter, type RouteReq } from '../src/routing/index.js'
import { SeededRandom, SystemClock, SystemTimers } from '../src/time/index.js'

const TARGET_COUNTS = [8, 100, 1_100, 11_000]
const WARM_UP_DECISIONS = 5_000
const DECISIONS = 20_000
const BLOCKS_PER_PROMPT = 8

for (const count of TARGET_COUNTS) measure(count)

function measure (count: number): void {
  const clock = new SystemClock()
  const random = new SeededRandom(count)
  const router = new TwoChoiceRouter({ clock, timers: new SystemTimers(), random })
  router.setTargets(Array.from({ length: count }, (_, index) => ({ name: `t${index}`, service: 'm', domain: 'a', url: `http://t${index}`, leaving: false, role: 'mixed' })))
  for (let index = 0; index < count; index++) {
    router.applyLoad(`t${index}`, {
      at: clock.wallTimeMs(), running: 4, waiting: 0, pending_prefill_tokens: random.next() * 10_000, pending_decode_tokens: random.next() * 1_000, prefill_rate: 20_000, decode_rate: 400
    })
  }
  const decisionUs: number[] = []
  for (let index = 0; index < WARM_UP_DECISIONS + DECISIONS; index++) {
    const req = createReq(Math.floor(random.next() * 500))
    const startedAt = clock.now()
    const choice = router.choose(req)
    const chosenAt = clock.now()
    if (choice === undefined) throw new Error('no target')
    router.noteSent(`a${index}`, choice.target.name, req)
    router.noteFinished(`a${index}`, 'ok')
    if (index >= WARM_UP_DECISIONS) decisionUs.push((chosenAt - startedAt) * 1_000)
  }
  decisionUs.sort((a, b) => a - b)
  const percentile = (quantile: number): string => decisionUs[Math.floor(decisionUs.length * quantile)]!.toFixed(1)
  console.log(`targets=${count} decision_p50_us=${percentile(0.5)} p95_us=${percentile(0.95)} p99_us=${percentile(0.99)} mean_us=${(decisionUs.reduce((sum, time) => sum + time, 0) / decisionUs.length).toFixed(1)}`)
}

function createReq (prompt: number): RouteReq {
  return { service: 'm', chain: Array.from({ length: BLOCKS_PER_PROMPT }, (_, block) => `${prompt}/${block}`), promptTokens: BLOCKS_PER_PROMPT * 2_000, outputTokens: 100, exclude: new Set() }
}
