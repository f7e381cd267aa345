/** Measures the store calls per non-idempotent call, in virtual time: `node --import tsx bench/claims.ts`. */
import { PageClaims, type Claims } from '../src/claims/index.js'
import { Err } from '../src/errors/index.js'
import { MemoryStore } from '../src/standin/index.js'
import { VirtualTime } from '../src/time/index.js'

const LOAD_DURATION_MS = 10_000
const RESPONSE = { status: 200, contentType: 'text/plain', body: new TextEncoder().encode('done') }

/** Cases as entries and calls per second: from the four entries of today to the rate and fleet of the target size. */
const CASES = [[4, 4], [4, 230], [4, 2_000], [32, 230], [550, 230]] as const

for (const [entries, callsPerSecond] of CASES) await measure(entries, callsPerSecond)

async function measure (entries: number, rate: number): Promise<void> {
  const time = new VirtualTime()
  const store = new MemoryStore(time)
  const env = time.env(entries)
  const retries = new Map<string, number>()
  const claimTimesMs: number[] = []
  const claims: Claims[] = Array.from({ length: entries }, (_, index) => new PageClaims({
    env,
    store,
    onRetry: (reason) => retries.set(reason, (retries.get(reason) ?? 0) + 1),
    incarnation: `e${index}`,
    peerAddress: () => '',
    owners: { isTerminated: () => false },
    peers: { handle: () => {}, call: async () => Err({ kind: 'refused', message: '' }) }
  }))
  const calls = LOAD_DURATION_MS / 1_000 * rate
  for (let index = 0; index < calls; index++) time.after(env.random.next() * LOAD_DURATION_MS, () => { claimOnce(index).catch((err: unknown) => { throw err }) })
  await time.advance(LOAD_DURATION_MS + 20_000)
  claimTimesMs.sort((a, b) => a - b)
  console.log(`entries=${entries} calls_per_s=${rate} writes_per_call=${(store.calls.writes / calls).toFixed(2)} reads_per_call=${(store.calls.reads / calls).toFixed(2)} ` +
    `claim_p50_ms=${claimTimesMs[claimTimesMs.length >> 1]?.toFixed(0)} claim_p95_ms=${claimTimesMs[Math.floor(claimTimesMs.length * 0.95)]?.toFixed(0)} conflicts=${retries.get('store_conflict') ?? 0}`)

  async function claimOnce (index: number): Promise<void> {
    const startedAt = time.now()
    const entry = claims[Math.floor(env.random.next() * entries)]!
    const outcome = await entry.claim({ account: 'a', service: 's', key: `${Math.floor(time.wallTimeMs())}-${index}`, request: 'r', deadlineAt: startedAt + 10_000 })
    if (outcome.err || outcome.val.kind !== 'granted') throw new Error('not granted')
    claimTimesMs.push(time.now() - startedAt)
    const claim = outcome.val.claim
    time.after(20, () => { claim.complete(RESPONSE).catch((err: unknown) => { throw err }) })
  }
}
