/** Time of one routing decision by number of targets: `node --import tsx bench/route.ts`. */
import { TwoChoiceRouter, type RouteReq } from '../src/routing/index.js'
import { SeededRandom, SystemClock, SystemTimers } from '../src/time/index.js'

const TARGETS = [8, 100, 1_100, 11_000]
const WARM_UP = 5_000
const DECISIONS = 20_000
const PIECES = 8

for (const count of TARGETS) measure(count)

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
  const times: number[] = []
  for (let index = 0; index < WARM_UP + DECISIONS; index++) {
    const need = needOf(Math.floor(random.next() * 500))
    const startedAt = clock.now()
    const choice = router.choose(need)
    const chosenAt = clock.now()
    if (choice === undefined) throw new Error('no target')
    router.noteSent(`a${index}`, choice.target.name, need)
    router.noteFinished(`a${index}`, 'ok')
    if (index >= WARM_UP) times.push((chosenAt - startedAt) * 1_000)
  }
  times.sort((a, b) => a - b)
  const at = (share: number): string => times[Math.floor(times.length * share)]!.toFixed(1)
  console.log(`targets=${count} decision_p50_us=${at(0.5)} p95_us=${at(0.95)} p99_us=${at(0.99)} mean_us=${(times.reduce((sum, time) => sum + time, 0) / times.length).toFixed(1)}`)
}

function needOf (prompt: number): RouteReq {
  return { service: 'm', chain: Array.from({ length: PIECES }, (_, piece) => `${prompt}/${piece}`), promptTokens: PIECES * 2_000, outputTokens: 100, exclude: new Set() }
}
