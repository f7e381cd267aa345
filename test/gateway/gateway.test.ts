import * as chai from 'chai'
import * as errors from '../../src/errors/index.js'
import type * as forward from '../../src/forward/index.js'
import * as gateway from '../../src/gateway/index.js'
import * as log from '../../src/log/index.js'
import * as metrics from '../../src/metrics/index.js'
import * as serving from '../../src/serving/index.js'
import * as standin from '../../src/standin/index.js'
import * as time from '../../src/time/index.js'
import * as build from '../support/gateway-builders.js'

const KEY = 'config/main'

function aReq (overrides: Partial<gateway.CallerReq> = {}): gateway.CallerReq {
  return { id: 'c1', method: 'POST', path: '/a/x', host: 'h', key: 'k1', waitMs: 2_000, headers: [], ...overrides }
}

async function setUp (configs: Record<string, serving.ServingConfig>) {
  const virtual = new time.VirtualTime()
  const env = virtual.env(1)
  const store = new standin.MemoryStore(virtual)
  const decode = (text: string): serving.ServingConfig => configs[text]!
  const feed = new serving.ConfigFeed({ isReader: () => true, propagationMs: 2_000, env, elapsed: new serving.ElapsedClock(virtual), store, eras: store.eras, key: KEY, decode, log: log.SILENT_LOGGER, metrics: new metrics.Metrics() })
  const forwarded: string[] = []
  const forwarder = { forward: async (call: { account?: string, checkAuthorization: () => errors.Refusal | undefined }) => { forwarded.push(call.account ?? 'open'); return call.checkAuthorization() } } as unknown as forward.Forwarder
  const subject = new gateway.Gateway({ env, feed, forwarder, quotas: { admit: () => undefined, end: () => {}, refuseExpired: () => { throw new Error('no quota') } }, bounds: { keyRevocationMs: 5_000, configPropagationMs: 2_000 }, callsEndAt: () => undefined, refusing: () => false })
  const write = async (text: string): Promise<void> => { await Promise.all([store.put(KEY, JSON.stringify(text).slice(1, -1), store.peek(KEY)?.version ?? 'absent'), virtual.advance(10)]) }
  const handle = async (req: gateway.CallerReq): Promise<string> => {
    const outcome = subject.handle(req, new Uint8Array(0), new build.RecordedReply(), new AbortController().signal)
    await virtual.advance(50)
    return (await outcome)?.reason ?? 'forwarded'
  }
  return { virtual, store, feed, forwarded, write, handle }
}

describe('Gateway', () => {
  it('gives no final refusal (401, 404) before a configuration is known', async () => {
    const fixture = await setUp({})
    chai.expect(await fixture.handle(aReq())).to.equal('entry_not_ready')
  })

  it('rereads the configuration before it gives a final refusal', async () => {
    const fixture = await setUp({ one: build.aConfig(), two: build.aConfig({ version: 2, accounts: [{ name: 'acc', keys: ['k1', 'k2'] }] }) })
    await fixture.write('one')
    fixture.feed.start()
    await fixture.virtual.advance(100)
    await fixture.write('two')
    chai.expect(await fixture.handle(aReq({ key: 'k2' }))).to.equal('forwarded')
    chai.expect(await fixture.handle(aReq({ key: 'k3' }))).to.equal('key_invalid')
    chai.expect(await fixture.handle(aReq({ path: '/z/' }))).to.equal('unknown_route')
  })

  it('gives a final refusal within the timeout of its route although the store is slow', async () => {
    const fixture = await setUp({ one: build.aConfig({ routes: [build.aRoute({ timeoutMs: 300 })] }) })
    await fixture.write('one')
    fixture.feed.start()
    await fixture.virtual.advance(100)
    fixture.store.faults.delayMs = 900
    let reason: string | undefined
    const handled = fixture.handle(aReq({ key: 'k9' })).then((outcome) => { reason = outcome })
    await fixture.virtual.advance(250)
    chai.expect(reason).to.equal('key_invalid')
    await fixture.virtual.advance(1_000)
    await handled
  })

  it('refuses keys as unknown, not as invalid, when its copy of the configuration may be stale', async () => {
    const fixture = await setUp({ one: build.aConfig({ routes: [build.aRoute(), build.aRoute({ name: 'open', path: '/o/', open: true })] }) })
    await fixture.write('one')
    fixture.feed.start()
    await fixture.virtual.advance(100)
    fixture.store.faults.down = true
    await fixture.virtual.advance(2_000)
    chai.expect(await fixture.handle(aReq())).to.equal('forwarded')
    chai.expect(await fixture.handle(aReq({ key: 'k9' }))).to.equal('route_state_unknown')
    await fixture.virtual.advance(2_700)
    chai.expect(await fixture.handle(aReq())).to.equal('key_state_unknown')
    chai.expect(await fixture.handle(aReq({ path: '/o/x' }))).to.equal('forwarded')
  })

  it('accepts a withdrawn key no longer than the revocation bound, also while some reads of the store hang', async () => {
    const fixture = await setUp({ one: build.aConfig(), two: build.aConfig({ version: 2, accounts: [] }) })
    await fixture.write('one')
    fixture.feed.start()
    await fixture.virtual.advance(900)
    fixture.store.faults.delayMs = 2_500
    await fixture.virtual.advance(20)
    fixture.store.faults.delayMs = 4
    await fixture.write('two')
    await fixture.virtual.advance(4_900)
    chai.expect(await fixture.handle(aReq())).to.be.oneOf(['key_invalid', 'key_state_unknown'])
  })
})
