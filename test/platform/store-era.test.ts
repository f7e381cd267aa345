import * as http from 'node:http'
import type * as net from 'node:net'
import * as chai from 'chai'
import * as external from '../../src/external/index.js'
import * as httpJson from '../../platform/http-json.js'
import * as platformStore from '../../platform/store.js'

interface ScriptedResponse {
  readonly era?: string
  readonly body: object
}

/** A store client, and the requests that it sent to a server with these responses. */
async function withStore (responses: readonly ScriptedResponse[], run: (store: platformStore.PlatformStore, eras: external.StoreEras, requests: string[]) => Promise<void>): Promise<void> {
  const requests: string[] = []
  const server = http.createServer((req, res) => {
    const response = responses[requests.length]!
    requests.push(`${req.method} ${req.url}`)
    if (response.era !== undefined) res.setHeader('Store-Era', response.era)
    res.setHeader('content-type', 'application/json')
    req.resume()
    res.end(JSON.stringify(response.body))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  await using client = new httpJson.JsonClient(`127.0.0.1:${(server.address() as net.AddressInfo).port}`)
  const eras = new external.StoreEras()
  try {
    await run(new platformStore.PlatformStore(client, eras), eras, requests)
  } finally {
    server.closeAllConnections()
    await new Promise<void>((resolve) => { server.close(() => resolve()) })
  }
}

function object (revision: number): object {
  return { metadata: { name: 'main', revision }, spec: {} }
}

// Revisions are given out again after a restore: they must not be compared across eras.
describe('PlatformStore and the era of the store', () => {
  it('gives an object of a later era a higher version, although its revision is lower', async () => {
    await withStore([{ era: '1', body: object(103) }, { era: '2', body: object(85) }], async (store, eras) => {
      const restored: number[] = []
      eras.onRestored((era) => restored.push(era))
      const versions = [(await store.get('config/main')).unwrap()!.version, (await store.get('config/main')).unwrap()!.version]
      chai.expect(versions[1]).to.be.greaterThan(versions[0]!)
      chai.expect(versions.map(external.revisionOf)).to.deep.equal([103, 85])
      chai.expect(restored).to.deep.equal([2])
    })
  })

  it('drops a response of an earlier era that arrives after one of a later era', async () => {
    await withStore([{ era: '2', body: object(85) }, { era: '1', body: object(103) }], async (store, eras) => {
      chai.expect((await store.get('config/main')).ok).to.equal(true)
      chai.expect((await store.get('config/main')).ok).to.equal(false)
      chai.expect(eras.current).to.equal(2)
    })
  })

  it('sends no conditional write whose expected version is of an earlier era', async () => {
    await withStore([{ era: '1', body: object(90) }, { era: '2', body: object(85) }], async (store, _eras, requests) => {
      const { version } = (await store.get('kind/a')).unwrap()!
      await store.get('kind/b')
      const put = await store.put('kind/a', '{}', version)
      const deleted = await store.delete('kind/a', version)
      chai.expect([put.err && put.val.kind, deleted.err && deleted.val.kind]).to.deep.equal(['conflict', 'conflict'])
      chai.expect(requests).to.have.length(2)
    })
  })

  it('does not join pages of two eras into one list', async () => {
    const page = (revision: number, morePages: boolean): object => ({ items: [object(revision)], morePages, asOf: revision })
    await withStore([{ era: '1', body: page(5, true) }, { era: '2', body: page(3, false) }], async (store) => {
      chai.expect((await store.list('servers/')).ok).to.equal(false)
    })
  })

  it('takes revisions as versions where the store tells no era', async () => {
    await withStore([{ body: object(7) }], async (store) => {
      chai.expect((await store.get('config/main')).unwrap()!.version).to.equal(7)
    })
  })

  it('does not take a first response without an era for one before a restore', async () => {
    await withStore([{ body: object(7) }, { era: '3', body: object(9) }], async (store, eras) => {
      const restored: number[] = []
      eras.onRestored((era) => restored.push(era))
      await store.get('config/main')
      chai.expect((await store.get('config/main')).ok).to.equal(true)
      chai.expect([eras.current, restored]).to.deep.equal([3, []])
    })
  })

  it('does not use a response without an era once the store has told one: it may be older than a restore', async () => {
    await withStore([{ era: '1', body: object(85) }, { body: object(103) }], async (store) => {
      await store.get('config/main')
      chai.expect((await store.get('config/main')).ok).to.equal(false)
    })
  })
})
