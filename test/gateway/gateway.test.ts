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

function aReq (over: Partial<gateway.CallerReq> = {}): gateway.CallerReq {
  return { id: 'c1', method: 'POST', path: '/a/x', host: 'h', key: 'k1', waitMs: 2_000, headers: [], ...over }
}

async function setUp (configs: Record<string, serving.ServingConfig>) {
  const virtual = new time.VirtualTime()
  const env = virtual.env(1)
  const store = new standin.MemoryStore(virtual)
  const decode = (text: string): serving.ServingConfig => configs[text]!
  const feed = new serving.ConfigFeed({ propagationMs: 2_000, env, elapsed: new serving.ElapsedClock(virtual), store, key: KEY, decode, log: log.SILENT_LOGGER, metrics: new metrics.Metrics() })
  const forwarded: string[] = []
  const forwarder = { forward: async (call: { account?: string, checkAuthorization: () => errors.Refusal | undefined }) => { forwarded.push(call.account ?? 'open'); return call.checkAuthorization() } } as unknown as forward.Forwarder
  const one = new gateway.Gateway({ env, feed, forwarder, bounds: { keyRevocationMs: 5_000, configPropagationMs: 2_000 }, endsAt: () => undefined, refusing: () => false })
  const write = async (text: string): Promise<void> => { await Promise.all([store.put(KEY, JSON.stringify(text).slice(1, -1), store.peek(KEY)?.version ?? 'absent'), virtual.advance(10)]) }
  const handle = async (req: gateway.CallerReq): Promise<string> => {
    const work = one.handle(req, new Uint8Array(0), new build.RecordedReply(), new AbortController().signal)
    await virtual.advance(50)
    return (await work)?.reason ?? 'forwarded'
  }
  return { virtual, store, feed, forwarded, write, handle }
}

describe('Gateway', () => {
  it('says neither 401 nor 404 before it knows a configuration', async () => {
    const run = await setUp({})
    chai.expect(await run.handle(aReq())).to.equal('entry_not_ready')
  })

  it('reads the configuration again before it turns a caller away for good', async () => {
    const run = await setUp({ one: build.aConfig(), two: build.aConfig({ version: 2, accounts: [{ name: 'acc', keys: ['k1', 'k2'] }] }) })
    await run.write('one')
    run.feed.start()
    await run.virtual.advance(100)
    await run.write('two')
    chai.expect(await run.handle(aReq({ key: 'k2' }))).to.equal('forwarded')
    chai.expect(await run.handle(aReq({ key: 'k3' }))).to.equal('key_invalid')
    chai.expect(await run.handle(aReq({ path: '/z/' }))).to.equal('unknown_route')
  })

  it('refuses keys as unknown, not as invalid, when it cannot tell whether its knowledge is current', async () => {
    const run = await setUp({ one: build.aConfig({ routes: [build.aRoute(), build.aRoute({ name: 'open', path: '/o/', open: true })] }) })
    await run.write('one')
    run.feed.start()
    await run.virtual.advance(100)
    run.store.faults.down = true
    await run.virtual.advance(2_000)
    chai.expect(await run.handle(aReq())).to.equal('forwarded')
    chai.expect(await run.handle(aReq({ key: 'k9' }))).to.equal('route_state_unknown')
    await run.virtual.advance(2_700)
    chai.expect(await run.handle(aReq())).to.equal('key_state_unknown')
    chai.expect(await run.handle(aReq({ path: '/o/x' }))).to.equal('forwarded')
  })

  it('lets a withdrawn key work no longer than the bound, also while a part of the reads hang', async () => {
    const run = await setUp({ one: build.aConfig(), two: build.aConfig({ version: 2, accounts: [] }) })
    await run.write('one')
    run.feed.start()
    await run.virtual.advance(900)
    run.store.faults.delayMs = 2_500
    await run.virtual.advance(20)
    run.store.faults.delayMs = 4
    await run.write('two')
    await run.virtual.advance(4_900)
    chai.expect(await run.handle(aReq())).to.be.oneOf(['key_invalid', 'key_state_unknown'])
  })
})
