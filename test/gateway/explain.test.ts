import * as chai from 'chai'
import * as time from '../../src/time/index.js'
import * as explainCommand from '../../platform/explain-command.js'
import * as support from '../support/gateway-process.js'

const MODEL_ROUTE = { name: 'chat', host: 'ledger.example', pathPrefix: '/m/', kind: 'streaming', timeoutMs: 5_000, sloMs: 800, priority: 1, service: 'model', maxAttempts: 2, public: false }
const MODEL_SERVICE = { name: 'model', maxConns: 50, engine: { slots: 8, kvCapacity: 100_000 } }
const CONFIG = { ...support.CONFIG, routes: [...support.CONFIG.routes, MODEL_ROUTE], services: [...support.CONFIG.services, MODEL_SERVICE] }

describe('explain', () => {
  it('prints the candidates of a call, the decision and its reason, the same each time, and sends nothing', async () => {
    await using gw = new support.GatewayProcess()
    let received = 0
    await gw.addServer('i-1', (req, res) => { received++; res.end() })
    for (const [id, state] of [['e-1', 'ready'], ['e-2', 'ready'], ['e-3', 'draining']]) {
      await gw.store.put(`servers/${id}`, JSON.stringify({ service: 'model', address: '127.0.0.1:9', zone: 'z', slots: 8, state, stage: 'decode' }), 'absent')
    }
    await gw.start(CONFIG)
    const peer = `127.0.0.1:${gw.peerPort}`
    const explain = async (options: Omit<explainCommand.ExplainOptions, 'peer'>): Promise<string[]> => await explainCommand.explain({ peer, ...options }, new time.SystemTimers())
    const model = { route: 'chat', tokens: '5000,20', segments: 'shared:4000,own:1000' }
    const [decision, reason, , first, second, excluded] = await explain(model)
    chai.expect(decision).to.match(/^decision send e-[12]$/)
    chai.expect(reason).to.match(/^reason {3}lowest cost, \d+ ms below the next; first event expected after \d+ ms, objective 800 ms$/)
    chai.expect(first).to.match(/^ {2}e-[12] prefilled prefill_tokens=\d+ expected_ms=\d+ cost=[\d.]+: backlog=0 .*prefill=\d+.* preference=0/)
    chai.expect(second).to.match(/^ {2}e-[12] prefilled/)
    chai.expect(excluded).to.equal('  - e-3: left or leaving')
    chai.expect(await explain(model)).to.deep.equal([decision, reason, 'cost in ms, lowest first:', first, second, excluded])
    chai.expect((await explain({ service: 'ledger' }))[0]).to.equal('decision send i-1')
    const failure = await explain({ route: 'unknown' }).then(() => '', (err: unknown) => String(err))
    chai.expect(failure).to.contain('no route unknown')
    chai.expect([received, gw.lines.some((line) => line.includes('event=attempt_ended'))]).to.deep.equal([0, false])
  })
})
