/** Replays overload against engines that prefill in the order of arrival, with and without calls that wait at the gateway. */
import * as chai from 'chai'
import * as overload from '../support/overload.js'

const { LARGE, URGENT, LARGE_TOKENS, SHORT_TOKENS } = overload

/** Engines of each replay; together they prefill 384 tokens a ms. */
const ENGINES = 8

type Load = (replay: overload.Overload) => void

async function play (load: Load, queue: boolean, gateways = 1): Promise<overload.Overload> {
  const replay = new overload.Overload({ engines: ENGINES, gateways, queue })
  load(replay)
  await replay.virtual.advance(14_000)
  return replay
}

const limitOf = ({ route }: overload.Outcome): number => Math.min(5_000, route.callerIdleTimeoutMs)
const isUrgent = ({ route }: overload.Outcome): boolean => route === URGENT
const isOf = (account: string) => (outcome: overload.Outcome): boolean => outcome.account.startsWith(account)

/** Urgent short calls that need 39% of the engines. */
const urgentFor = (ms: number): Load => (replay) => replay.every(100, ms, (index) => replay.send(URGENT, SHORT_TOKENS, { gateway: index % replay.gateways.length }))

const PATTERNS: ReadonlyArray<{ readonly name: string, readonly load: Load, readonly gateways?: number, readonly before: number, readonly after: number, readonly answered: number }> = [
  {
    name: 'a mix beyond what the engines can carry, at three gateways',
    load: (replay) => { urgentFor(6_000)(replay); replay.every(8, 6_000, (index) => replay.send(LARGE, LARGE_TOKENS, { account: 'b', gateway: index % 3 })) },
    gateways: 3,
    before: 0.8,
    after: 0.85,
    answered: 0.98
  },
  {
    name: 'a burst of large prompts',
    load: (replay) => { urgentFor(6_000)(replay); replay.every(60, 1_000, () => replay.send(LARGE, LARGE_TOKENS, { account: 'b', patience: 'returns' })) },
    before: 0.25,
    after: 0.45,
    answered: 0.85
  },
  {
    name: 'a reclaimed failure domain that halves the engines',
    load: (replay) => {
      replay.every(60, 6_000, () => replay.send(URGENT, SHORT_TOKENS))
      replay.every(4, 6_000, () => replay.send(LARGE, LARGE_TOKENS, { account: 'b' }))
      replay.virtual.after(1_000, () => replay.reclaim('d1'))
    },
    before: 0.65,
    after: 0.8,
    answered: 0.98
  },
  {
    name: 'the return of all gateways, whose callers all come to the first',
    load: (replay) => {
      for (let count = 0; count < 200; count++) replay.send(URGENT, 2 * SHORT_TOKENS, { patience: 'returns' })
      for (let count = 0; count < 40; count++) replay.send(LARGE, LARGE_TOKENS, { account: 'b', patience: 'returns' })
      replay.every(60, 4_000, () => replay.send(URGENT, SHORT_TOKENS))
    },
    before: 0.3,
    after: 0.6,
    answered: 0.9
  },
  {
    name: 'an account with many times its usual load',
    load: (replay) => {
      replay.every(40, 6_000, (index) => replay.send(URGENT, SHORT_TOKENS, { account: `urgent${index % 4}` }))
      replay.every(30, 6_000, () => replay.send(LARGE, LARGE_TOKENS / 2, { account: 'flood' }))
      replay.every(6, 6_000, (index) => replay.send(LARGE, LARGE_TOKENS / 2, { account: `small${index % 3}` }))
    },
    before: 0.3,
    after: 0.65,
    answered: 0.75
  }
]

describe('replays of overload', () => {
  for (const { name, load, gateways, before, after, answered } of PATTERNS) {
    it(`meets more objectives of urgent calls, and answers no fewer calls: ${name}`, async () => {
      const without = await play(load, false, gateways)
      const withQueue = await play(load, true, gateways)
      chai.expect(without.share(isUrgent), 'urgent calls without the queue').to.be.at.most(before)
      chai.expect(withQueue.share(isUrgent), 'urgent calls with the queue').to.be.at.least(after)
      const all = withQueue.share(() => true, limitOf)
      chai.expect(all, 'answered calls').to.be.at.least(Math.max(answered, without.share(() => true, limitOf) - 0.02))
    })

    it(`sends every waiting call while it can still be answered, or refuses it at once: ${name}`, async () => {
      const replay = await play(load, true, gateways)
      const lines = (event: string): Array<Readonly<Record<string, unknown>>> => replay.lines.filter((line) => line.event === event).map((line) => line.fields)
      const waited = lines('call_wait_ended')
      chai.expect(waited.length).to.be.greaterThan(10).and.equal(lines('call_waits').length)
      const late = waited.filter(({ limit_ms: limitMs, own_ms: ownMs, backlog_ms: backlogMs }) => Number(limitMs) < Number(ownMs) + Number(backlogMs))
      chai.expect(late, 'ended when it was too late').to.deep.equal([])
      for (const { room, waiting, waiting_elsewhere: elsewhere } of lines('call_waits')) chai.expect(room === false || Number(waiting) > 1 || Number(elsewhere) > 0, 'no call waits while an engine is idle').to.equal(true)
      const ids = new Set(waited.map((line) => line['id']))
      const unanswered = replay.outcomes.filter((outcome, index) => ids.has(`c${index + 1}`) && outcome.firstEventMs === undefined)
      chai.expect(unanswered.length).to.be.at.most(waited.length * 0.02)
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
      replay.every(7, 6_000, () => replay.send(LARGE, LARGE_TOKENS, { account: 'repeats', patience: 'repeats' }))
      replay.every(7, 6_000, () => replay.send(LARGE, LARGE_TOKENS, { account: 'returns', patience: 'returns' }))
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
    chai.expect((await play(load, true)).lines.filter((line) => line.event === 'call_waits')).to.deep.equal([])
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
