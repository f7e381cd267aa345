import * as chai from 'chai'
import * as time from '../../src/time/index.js'
import * as caller from './caller.js'
import * as deployment from './deployment.js'

const LOADS: caller.RouteLoad[] = [
  { route: 'read', share: 3 },
  { route: 'record', share: 2 },
  { route: 'chat', share: 3, tokens: { shared: 300, own: 100, output: 20 }, sharedParts: 4 }
]

/** Calls a second, all keyed. */
const CALLS_PER_S = 60

/** Slack for the time between a response and its record here, in ms. */
const SLACK_MS = 100

// The store of a running deployment returns from an older copy: callers are served before and after, and the configuration,
// the duties and the registrations go on.
describe('a deployment whose store returns from an older copy', () => {
  it('serves callers before and after, applies changes within the bound, and keeps tokens and counts in order', async function () {
    this.timeout(60_000)
    const env: time.Env = { clock: new time.SystemClock(), timers: new time.SystemTimers(), random: new time.SeededRandom(1) }
    const wait = async (ms: number): Promise<void> => await time.delay(env.timers, ms)
    await using dep = await deployment.Deployment.start(env, { gateways: 3, engines: 3, plains: 2, accounts: 4 })
    await dep.ready()
    using callers = new caller.Callers(env, dep, LOADS, 'r')
    callers.start(CALLS_PER_S)
    await wait(5_000)
    await dep.writeConfig()
    const copy = dep.store.store.copy()
    await wait(1_000)
    // Lost with the restore: one more change, which adds an account.
    dep.accounts = [...dep.accounts, { name: 'account-late', key: 'key-late' }]
    await dep.writeConfig()
    await wait(2_000)
    dep.store.mode = 'silent'
    await wait(1_000)
    dep.store.store.restore(copy)
    dep.store.mode = 'serving'
    const restoredAt = env.clock.now()
    await wait(500)
    dep.configVersion--
    await dep.writeConfig()
    await wait(3_000)
    const withdrawn = dep.accounts[0]!
    dep.accounts = dep.accounts.slice(1)
    const changed = dep.configVersion
    const changedAt = env.clock.now()
    await dep.writeConfig()
    await wait(deployment.BOUNDS.configApplyMs)
    for (const gateway of dep.gateways) {
      const applied = gateway.lines.filter((line) => line.includes('config_applied'))
      chai.expect(applied[applied.length - 1], gateway.name).to.match(new RegExp(`version=${changed}\\b`))
    }
    await wait(6_000)
    callers.stop()
    await wait(1_000)

    const requests = [...dep.observations.requests.values()].filter((request) => request.endedAt !== undefined)
    const servedShare = (from: number, to: number): number => {
      const sent = requests.filter((request) => request.sentAt >= from && request.sentAt < to)
      chai.expect(sent.length).to.be.greaterThan(60)
      return sent.filter((request) => request.ending === 200).length / sent.length
    }
    chai.expect(servedShare(restoredAt - 5_000, restoredAt - 1_000), 'before').to.be.greaterThan(0.97)
    chai.expect(servedShare(restoredAt + 1_500, changedAt), 'after').to.be.greaterThan(0.97)
    chai.expect(servedShare(changedAt + 2_000, changedAt + 8_000), 'after the change').to.be.greaterThan(0.97)
    for (const request of requests) {
      chai.expect(request.faults, request.id).to.deep.equal([])
      const late = request.key === withdrawn.key && request.runs.some((run) => run.startedAt > changedAt + deployment.BOUNDS.revokeMs + SLACK_MS)
      chai.expect(late, `${request.id} with the withdrawn key`).to.equal(false)
    }
    chai.expect(dep.gateways.flatMap((gateway) => gateway.unexpectedExits)).to.deep.equal([])
    chai.expect(dep.store.store.keys('godwitpoint-gateways/')).to.have.length(3)
    checkDuties(dep)
  })
})

function checkDuties (dep: deployment.Deployment): void {
  const { duties } = dep.store
  chai.expect(duties.length).to.be.greaterThan(1)
  const holders = new Map<number, string>()
  for (const [index, call] of duties.entries()) {
    if (index > 0) chai.expect(call.token, 'fencing token').to.be.at.least(duties[index - 1]!.token)
    chai.expect(holders.get(call.token) ?? call.holder, `holder of the token ${call.token}`).to.equal(call.holder)
    holders.set(call.token, call.holder)
  }
  const counts = new Map<unknown, string>()
  for (const { path, body } of duties.filter((call) => call.path === '/usage')) {
    const text = JSON.stringify(body.counts)
    chai.expect(counts.get(body.windowId) ?? text, `${path} ${String(body.windowId)}`).to.equal(text)
    counts.set(body.windowId, text)
  }
}
