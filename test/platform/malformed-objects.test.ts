import * as http from 'node:http'
import type * as net from 'node:net'
import * as chai from 'chai'
import * as external from '../../src/external/index.js'
import * as metrics from '../../src/metrics/index.js'
import * as time from '../../src/time/index.js'
import * as httpJson from '../../platform/http-json.js'
import * as malformedObjects from '../../platform/malformed-objects.js'
import * as platformStore from '../../platform/store.js'

const TARGET = '{"service":"s","address":"10.0.0.9:80","zone":"z","slots":1,"state":"ready"}'
const DEEP_ARRAY = '['.repeat(200_000) + ']'.repeat(200_000)
const DEEP_FIELD = `{"service":"s","extra":${'{"a":'.repeat(60_000)}1${'}'.repeat(60_000)}}`

function item (name: string, spec = TARGET, revision = '7'): string {
  return `{"metadata":{"name":${JSON.stringify(name)},"revision":${revision}},"spec":${spec}}`
}

function page (items: readonly string[], morePages = false): string {
  return `{"items":[${items.join(',')}],"morePages":${morePages},"asOf":9}`
}

interface Fixture {
  readonly store: platformStore.PlatformStore
  readonly urls: string[]
  readonly skipped: platformStore.SkippedObjects[]
}

/** A store client whose server sends these bodies, the last one again and again. */
async function withBodies (bodies: readonly (string | Buffer)[], run: (fixture: Fixture) => Promise<void>, status = 200): Promise<void> {
  const urls: string[] = []
  const skipped: platformStore.SkippedObjects[] = []
  const server = http.createServer((req, res) => {
    res.statusCode = status
    res.end(bodies[Math.min(urls.length, bodies.length - 1)])
    urls.push(req.url!)
    req.resume()
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  await using client = new httpJson.JsonClient(`127.0.0.1:${(server.address() as net.AddressInfo).port}`)
  try {
    await run({ store: new platformStore.PlatformStore(client, new external.StoreEras(), (objects) => skipped.push(objects)), urls, skipped })
  } finally {
    server.closeAllConnections()
    await new Promise<void>((resolve) => { server.close(() => resolve()) })
  }
}

function keysOf (objects: readonly external.StoredObject[]): string[] {
  return objects.map((object) => object.key)
}

// A malformed object of another writer must cost that object only: readers ended, or stopped following the list.
describe('PlatformStore and malformed objects', () => {
  it('lists the others beside a spec that is nested too deeply for recursive functions', async () => {
    await withBodies([page([item('a'), item('b', DEEP_ARRAY), item('c', DEEP_FIELD), item('d')])], async ({ store }) => {
      const objects = (await store.list('servers/')).unwrap()
      chai.expect(keysOf(objects)).to.deep.equal(['servers/a', 'servers/b', 'servers/c', 'servers/d'])
      chai.expect(objects.map((object) => object.value)).to.deep.equal([TARGET, 'null', 'null', TARGET])
    })
  })

  for (const [name, text] of [
    ['without metadata', '{"spec":{}}'],
    ['without a name', '{"metadata":{"revision":7},"spec":{}}'],
    ['with an empty name', item('')],
    ['with a name that is not well-formed', '{"metadata":{"name":"\\ud800","revision":7},"spec":{}}'],
    ['with a revision beyond 2^53', item('x', TARGET, '90071992547409930')],
    ['with a revision that reaches into the era', item('x', TARGET, String(2 ** 40))],
    ['with a negative revision', item('x', TARGET, '-1')],
    ['with an infinite revision', item('x', TARGET, '1e999')],
    ['that is no object', 'null'],
    ['that is nested too deeply itself', DEEP_ARRAY]
  ] as const) {
    it(`lists the others beside an object ${name}, and reports it`, async () => {
      await withBodies([page([item('a'), text, item('b')])], async ({ store, skipped }) => {
        chai.expect(keysOf((await store.list('servers/')).unwrap())).to.deep.equal(['servers/a', 'servers/b'])
        chai.expect(skipped).to.have.length(1)
        chai.expect(skipped[0]).to.include({ kind: 'servers', count: 1 })
      })
    })
  }

  it('continues after a page whose last objects are malformed', async () => {
    await withBodies([page([item('a'), '{"spec":{}}', '{"metadata":{"name":"\\ud800"}}'], true), page([item('b')])], async ({ store, urls }) => {
      chai.expect(keysOf((await store.list('servers/')).unwrap())).to.deep.equal(['servers/a', 'servers/b'])
      chai.expect(urls[1]).to.equal('/-/objects/servers?after=a')
    })
  })

  it('continues after a malformed last object by its name if it has one', async () => {
    await withBodies([page([item('a'), item('b', TARGET, '1.5')], true), page([item('c')])], async ({ store, urls }) => {
      chai.expect(keysOf((await store.list('servers/')).unwrap())).to.deep.equal(['servers/a', 'servers/c'])
      chai.expect(urls[1]).to.equal('/-/objects/servers?after=b')
    })
  })

  it('fails, and does not repeat pages without end, when no object of a page can start the next one', async () => {
    for (const items of [['{"spec":{}}'], [item('a')], []]) {
      await withBodies([page(items, true)], async ({ store, urls }) => {
        chai.expect((await store.list('servers/')).ok).to.equal(false)
        chai.expect(urls.length).to.be.at.most(2)
      })
    }
  })

  it('gives no result for a body that is not JSON or lacks fields', async () => {
    for (const body of ['', 'no JSON', 'null', '[]', '{"items":{}}', '{"items":[]}', DEEP_ARRAY, Buffer.from([0xff, 0xfe])]) {
      await withBodies([body], async ({ store }) => {
        const results = [await store.list('servers/'), await store.get('config/main'), await store.watch('config/', 1, 100), await store.put('kind/a', '{}', 1)]
        chai.expect(results.map((result) => result.ok)).to.deep.equal([false, false, false, false])
      })
    }
  })

  it('lists an object with invalid UTF-8 and the others', async () => {
    await withBodies([Buffer.from(page([item('a'), item('b', '"\xff\xfe"')]), 'latin1')], async ({ store }) => {
      chai.expect(keysOf((await store.list('servers/')).unwrap())).to.deep.equal(['servers/a', 'servers/b'])
    })
  })

  it('gives an object whose spec cannot be read with its version, so that its owner can write it again', async () => {
    await withBodies([item('main', DEEP_ARRAY)], async ({ store }) => {
      chai.expect((await store.get('kind/main')).unwrap()).to.deep.equal({ key: 'kind/main', version: 7, value: 'null' })
    })
    await withBodies([item('main', DEEP_ARRAY)], async ({ store }) => {
      const put = await store.put('kind/main', '{}', 3)
      chai.expect(put.err && put.val).to.deep.include({ kind: 'conflict', current: { key: 'kind/main', version: 7, value: 'null' } })
    }, 409)
  })

  it('watches past malformed events', async () => {
    const events = [`{"deleted":false,"object":${item('a')}}`, '{"deleted":false,"object":{}}', 'null', DEEP_ARRAY, `{"deleted":false,"object":${item('b', DEEP_FIELD)}}`, '{"deleted":true,"object":{"metadata":{"name":"c"}}}']
    await withBodies([`{"events":[${events.join(',')}],"asOf":12}`], async ({ store, skipped }) => {
      const batch = (await store.watch('kind/', 1, 100)).unwrap()
      chai.expect(batch.changes.map(({ key, value }) => ({ key, value }))).to.deep.equal([{ key: 'kind/a', value: TARGET }, { key: 'kind/b', value: 'null' }])
      chai.expect(batch).to.deep.include({ deleted: ['kind/c'], version: 12 })
      chai.expect(skipped[0]).to.include({ kind: 'kind', count: 3 })
    })
  })
})

describe('reports of malformed objects', () => {
  it('are bounded in size and rate, while all are counted', () => {
    const virtual = new time.VirtualTime()
    const lines: object[] = []
    const note = (fields: object): void => { lines.push(fields) }
    const counters = new metrics.Metrics()
    const reporter = new malformedObjects.MalformedObjectReporter(virtual, { debug: note, info: note, warn: note, error: note }, counters)
    for (let read = 0; read < 100; read++) reporter.note({ kind: 'servers', count: 2, firstName: 'n'.repeat(1_000) })
    chai.expect(lines).to.deep.equal([{ kind: 'servers', count: 2, first_name: 'n'.repeat(64) }])
    chai.expect(counters.render()).to.include('godwitpoint_malformed_objects_total{kind="servers"} 200')
  })
})
