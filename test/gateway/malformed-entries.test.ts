import * as http from 'node:http'
import type * as net from 'node:net'
import * as chai from 'chai'
import * as external from '../../src/external/index.js'
import * as time from '../../src/time/index.js'
import * as httpJson from '../../platform/http-json.js'
import * as servingConfig from '../../platform/serving-config.js'
import * as platformStore from '../../platform/store.js'
import * as support from '../support/gateway-process.js'

/** Time within which the gateway must find a change, in ms. */
const PROPAGATION_MS = 2_000

/** Requests need no key: without a valid configuration, keys are accepted for a limited time only. */
const KEYLESS_CONFIG = { ...support.CONFIG, routes: [{ ...support.CONFIG.routes[0]!, public: true, timeoutMs: 2_000 }] }

const DEEP = '['.repeat(200_000) + ']'.repeat(200_000)

/** Items as another writer may leave them among the entries of targets. */
const MALFORMED_ITEMS = [
  'null', '{}', '{"metadata":{"revision":3},"spec":{}}', DEEP,
  `{"metadata":{"name":"deep","revision":3},"spec":${DEEP}}`,
  `{"metadata":{"name":"deep-field","revision":3},"spec":${'{"a":'.repeat(60_000)}1${'}'.repeat(60_000)}}`,
  '{"metadata":{"name":"number","revision":90071992547409930},"spec":{}}',
  ...['127.0.0.1:99999', '127.0.0.1:0', '999.1.1.1:80', 'x'].map((address, index) => `{"metadata":{"name":"address-${index}","revision":3},"spec":{"service":"ledger","address":"${address}","zone":"z","slots":9,"state":"ready"}}`),
  '{"metadata":{"name":"slots","revision":3},"spec":{"service":"ledger","address":"127.0.0.1:9","zone":"z","slots":1e300,"state":"ready"}}',
  '{"metadata":{"name":"state","revision":3},"spec":{"service":"ledger","address":"127.0.0.1:9","zone":"z","slots":9,"state":"busy"}}',
  '{"metadata":{"name":"i\\r\\nx: y","revision":3},"spec":{"service":"ledger","address":"127.0.0.1:9","zone":"z","slots":9,"state":"ready"}}'
]

function respond (name: string): http.RequestListener {
  return (req, res) => {
    req.resume()
    req.on('end', () => {
      res.writeHead(200, { 'request-id': req.headers['request-id'] ?? '', 'response-stamp': 's' })
      res.end(name)
    })
  }
}

/** A gateway whose lists come through the platform's store client, each with the malformed items before and after the others. */
async function withMalformedItems (run: (gw: support.GatewayProcess) => Promise<void>): Promise<void> {
  await using gw = new support.GatewayProcess()
  const listStored = gw.store.list.bind(gw.store)
  const server = http.createServer((req, res) => {
    const prefix = `${req.url!.replace(/^\/-\/objects\//, '').replace(/\?.*$/, '')}/`
    listStored(prefix).then((listed) => {
      const items = listed.unwrap().map(({ key, version, value }) => `{"metadata":{"name":"${key.slice(prefix.length)}","revision":${external.revisionOf(version)}},"spec":${value}}`)
      res.end(`{"items":[${[...MALFORMED_ITEMS, ...items, ...MALFORMED_ITEMS].join(',')}],"morePages":false,"asOf":9}`)
    }, () => res.destroy())
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  await using client = new httpJson.JsonClient(`127.0.0.1:${(server.address() as net.AddressInfo).port}`)
  const platform = new platformStore.PlatformStore(client, gw.store.eras)
  gw.store.list = async (prefix, mode) => await platform.list(prefix, mode)
  try {
    await run(gw)
  } finally {
    await gw.exit()
    server.closeAllConnections()
    await new Promise<void>((resolve) => { server.close(() => resolve()) })
  }
}

// One malformed entry ended the process, or the list was no longer followed.
describe('a gateway with malformed objects of other writers in its store', () => {
  it('keeps serving, and follows the list of targets', async () => {
    await withMalformedItems(async (gw) => {
      await gw.addServer('i-1', respond('first'))
      await gw.start(KEYLESS_CONFIG)
      for (let call = 0; call < 20; call++) chai.expect((await gw.request(`r${call}`)).body).to.equal('first')
      await gw.addServer('i-2', respond('second'))
      await gw.store.delete('servers/i-1', gw.store.peek('servers/i-1')!.version)
      await time.delay(new time.SystemTimers(), PROPAGATION_MS)
      for (let call = 0; call < 20; call++) chai.expect((await gw.request(`s${call}`)).body).to.equal('second')
      // A read may exceed its timeout on a busy machine; none may fail because of what it read.
      chai.expect(gw.lines.filter((line) => /level=error|cannot decode|call stack/.test(line))).to.deep.equal([])
    })
  })

  for (const text of ['null', '{}', 'no JSON', DEEP, '{"version":1e999,"routes":[],"services":[]}', JSON.stringify({ ...support.CONFIG, version: 2, routes: [{ name: 5 }] })]) {
    it(`keeps the configuration in use when a malformed one is stored: ${text.slice(0, 30)}`, async () => {
      await withMalformedItems(async (gw) => {
        await gw.addServer('i-1', respond('first'))
        await gw.start(KEYLESS_CONFIG)
        await gw.store.put(servingConfig.CONFIG_KEY, text, gw.store.peek(servingConfig.CONFIG_KEY)!.version)
        await time.delay(new time.SystemTimers(), PROPAGATION_MS)
        chai.expect(await gw.request('r1')).to.include({ status: 200, body: 'first' })
        chai.expect(gw.lines.filter((line) => line.includes('dependency=config')).length).to.be.within(1, 2)
        chai.expect(Math.max(...gw.lines.map((line) => line.length))).to.be.below(2_000)
        await gw.change({ ...KEYLESS_CONFIG, version: 3 })
        chai.expect((await gw.request('r2')).body).to.equal('first')
      })
    })
  }
})
