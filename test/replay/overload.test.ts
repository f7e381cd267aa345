/** Replays overload against engines that prefill in the order of arrival, with and without calls that wait at the gateway. */
import * as chai from 'chai'
import * as overload from '../support/overload.js'

const { LARGE, URGENT, LARGE_TOKENS, SHORT_TOKENS } = overload

/** Engines of each replay; together they prefill 384 tokens a ms. */
const ENGINES = 8

type Load = (replay: overload.Overload) => void

/** Seeds of the replays of a pattern, whose shares are averaged. */
const SEEDS = [0, 1, 2]

async function play (load: Load, queue: boolean, gateways = 1, seed = 0): Promise<overload.Overload> {
  const replay = new overload.Overload({ engines: ENGINES, gateways, queue, seed })
  load(replay)
  await replay.virtual.advance(14_000)
  return replay
}

function meanShare (replays: readonly overload.Overload[], ...args: Parameters<overload.Overload['share']>): number {
  return replays.reduce((sum, replay) => sum + replay.share(...args), 0) / replays.length
}

const limitOf = ({ route }: overload.Outcome): number => Math.min(5_000, route.callerIdleTimeoutMs)
const isUrgent = ({ route }: overload.Outcome): boolean => route === URGENT
const isOf = (account: string) => (outcome: overload.Outcome): boolean => outcome.account.startsWith(account)

/** Urgent short calls that need 39% of the engines. */
const urgentFor = (ms: number): Load => (replay) => replay.every(100, ms, (index) => replay.send(URGENT, SHORT_TOKENS, { gateway: index % replay.gateways.length }))

/** Share of urgent calls within their objective, at most without and at least with the queue, and of all calls that are answered. */
interface Shares {
  readonly before: number
  readonly after: number
  readonly answered: number
}

const PATTERNS: ReadonlyArray<{ readonly name: string, readonly load: Load, readonly gateways?: number, readonly shares: Shares }> = [
  {
    name: 'a mix beyond what the engines can carry, at three gateways',
    load: (replay) => { urgentFor(6_000)(replay); replay.every(8, 6_000, (index) => replay.send(LARGE, LARGE_TOKENS, { account: 'b', gateway: index % 3 })) },
    gateways: 3,
    shares: { before: 0.8, after: 0.85, answered: 0.98 }
  },
  {
    name: 'a burst of large prompts',
    load: (replay) => { urgentFor(6_000)(replay); replay.every(60, 1_000, () => replay.send(LARGE, LARGE_TOKENS, { account: 'b', onRefusal: 'returns' })) },
    shares: { before: 0.25, after: 0.5, answered: 0.9 }
  },
  {
    name: 'a reclaimed failure domain that halves the engines',
    load: (replay) => {
      replay.every(60, 6_000, () => replay.send(URGENT, SHORT_TOKENS))
      replay.every(4, 6_000, () => replay.send(LARGE, LARGE_TOKENS, { account: 'b' }))
      replay.virtual.after(1_000, () => replay.reclaim('d1'))
    },
    shares: { before: 0.75, after: 0.78, answered: 0.98 }
  },
  {
    name: 'the return of all gateways, whose callers all come to the first',
    load: (replay) => {
      for (let count = 0; count < 200; count++) replay.send(URGENT, 2 * SHORT_TOKENS, { onRefusal: 'returns' })
      for (let count = 0; count < 40; count++) replay.send(LARGE, LARGE_TOKENS, { account: 'b', onRefusal: 'returns' })
      replay.every(60, 4_000, () => replay.send(URGENT, SHORT_TOKENS))
    },
    shares: { before: 0.3, after: 0.6, answered: 0.9 }
  },
  {
    name: 'an account with many times its usual load',
    load: (replay) => {
      replay.every(40, 6_000, (index) => replay.send(URGENT, SHORT_TOKENS, { account: `urgent${index % 4}` }))
      replay.every(30, 6_000, () => replay.send(LARGE, LARGE_TOKENS / 2, { account: 'flood' }))
      replay.every(6, 6_000, (index) => replay.send(LARGE, LARGE_TOKENS / 2, { account: `small${index % 3}` }))
    },
    shares: { before: 0.3, after: 0.6, answered: 0.85 }
  }
]

/** Calls that waited were sent while they could still be answered; none waited while an engine was idle. */
function expectInTime (replay: overload.Overload): void {
  const waited = replay.lines('call_wait_ended')
  chai.expect(waited.length).to.be.greaterThan(10).and.equal(replay.lines('call_waits').length)
  const late = waited.filter(({ limit_ms: limitMs, own_ms: ownMs, backlog_ms: backlogMs }) => Number(limitMs) < Number(ownMs) + Number(backlogMs))
  // Estimates change while calls wait: one in a hundred may be found too late, and is refused then.
  chai.expect(late.length, 'ended when it was too late').to.be.at.most(waited.length * 0.01)
  for (const { room, waiting, waiting_elsewhere: elsewhere } of replay.lines('call_waits')) chai.expect(room === false || Number(waiting) > 1 || Number(elsewhere) > 0, 'no call waits while an engine is idle').to.equal(true)
  const ids = new Set(waited.map((line) => line['id']))
  const unanswered = replay.outcomes.filter((outcome, index) => ids.has(`c${index + 1}`) && outcome.firstEventMs === undefined)
  chai.expect(unanswered.length).to.be.at.most(waited.length * 0.02)
}

describe('replays of overload', () => {
  for (const { name, load, gateways, shares: { before, after, answered } } of PATTERNS) {
    it(`meets more objectives, answers no fewer calls, and sends each waiting call in time: ${name}`, async () => {
      const playAll = async (queue: boolean): Promise<overload.Overload[]> => await Promise.all(SEEDS.map(async (seed) => await play(load, queue, gateways, seed)))
      const without = await playAll(false)
      const replays = await playAll(true)
      chai.expect(meanShare(without, isUrgent), 'urgent calls without the queue').to.be.at.most(before)
      chai.expect(meanShare(replays, isUrgent), 'urgent calls with the queue').to.be.at.least(after)
      chai.expect(meanShare(replays, () => true, limitOf), 'answered calls').to.be.at.least(Math.max(answered, meanShare(without, () => true, limitOf) - 0.02))
      for (const replay of replays) expectInTime(replay)
    })
  }

  it('gives the calls of other accounts the room that an account with many times its usual load would take', async () => {
    const { load } = PATTERNS.at(-1)!
    const share = async (queue: boolean): Promise<number> => (await play(load, queue)).share(isOf('small'))
    chai.expect(await share(false)).to.be.at.most(0.3)
    chai.expect(await share(true)).to.be.at.least(0.5)
  })

  it('gives callers that repeat at once no advantage over those that return when they are told', async () => {
    const replay = await play((replay) => {
      urgentFor(6_000)(replay)
      replay.every(7, 6_000, () => replay.send(LARGE, LARGE_TOKENS, { account: 'repeats', onRefusal: 'repeats' }))
      replay.every(7, 6_000, () => replay.send(LARGE, LARGE_TOKENS, { account: 'returns', onRefusal: 'returns' }))
    }, true)
    const attempts = (account: string): number => replay.outcomes.filter(isOf(account)).length
    chai.expect(attempts('repeats')).to.be.greaterThan(attempts('returns') * 1.2)
    chai.expect(replay.share(isOf('repeats'), limitOf)).to.be.at.most(replay.share(isOf('returns'), limitOf) + 0.05)
  })

  it('sends a waiting call of low urgency before its deadline while urgent ones keep coming', async () => {
    const replay = await play((replay) => {
      replay.every(230, 6_000, () => replay.send(URGENT, SHORT_TOKENS))
      for (const at of [1_000, 2_000, 3_000]) replay.virtual.after(at, () => replay.send({ ...LARGE, priority: 9 }, LARGE_TOKENS, { account: 'b' }))
    }, true)
    chai.expect(replay.share(({ account }) => account === 'b', limitOf)).to.equal(1)
    chai.expect(replay.share(isUrgent)).to.be.at.least(0.9)
  })

  it('changes nothing while all calls can meet their objective', async () => {
    const load: Load = (replay) => { urgentFor(6_000)(replay); replay.every(3, 6_000, () => replay.send(LARGE, LARGE_TOKENS)) }
    const times = async (queue: boolean): Promise<Array<number | undefined>> => (await play(load, queue)).outcomes.map((outcome) => outcome.firstEventMs)
    chai.expect(await times(true)).to.deep.equal(await times(false))
    chai.expect((await play(load, true)).lines('call_waits')).to.deep.equal([])
  })

  it('refuses the waiting calls as not executed when the process stops, and holds none from then on', async () => {
    const replay = new overload.Overload({ engines: ENGINES, queue: true })
    for (let count = 0; count < 40; count++) replay.send(LARGE, LARGE_TOKENS)
    await replay.virtual.advance(10)
    const refused = (): unknown[] => replay.outcomes.flatMap(({ refusal }) => refusal?.reason === 'entry_stopping' ? [[refusal.status, refusal.detail.ran]] : [])
    chai.expect(refused()).to.deep.equal([])
    replay.gateways[0]!.admission.close()
    await replay.virtual.advance(1)
    const { length } = refused()
    chai.expect(length).to.be.greaterThan(5)
    replay.send(LARGE, LARGE_TOKENS)
    await replay.virtual.advance(1)
    chai.expect(refused()).to.deep.equal(Array.from({ length: length + 1 }, () => [503, 'no']))
  })
})
