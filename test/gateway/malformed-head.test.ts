import * as chai from 'chai'
import * as support from '../support/gateway-process.js'
import * as malformedResponses from '../support/malformed-responses.js'
import * as rawServer from '../support/raw-server.js'

// Reported of other systems: callers got answers with status 000, and lines whose name held a blank or a control byte.
describe('a response whose head is malformed', () => {
  for (const kind of ['unsafe', 'safe', 'streaming']) {
    for (const framing of malformedResponses.FRAMING_NAMES) {
      it(`is not relayed: ${kind}, with ${framing}`, async () => {
        let respond = malformedResponses.soundResponse(framing)
        let received = 0
        await using server = new rawServer.RawServer((socket, request) => {
          received++
          socket.end(respond(rawServer.requestId(request)))
        })
        await using gw = new support.GatewayProcess()
        await gw.store.put('servers/i-a', JSON.stringify({ service: 'ledger', address: await server.listen(), zone: 'z', slots: 4, state: 'ready', seq: 1 }), 'absent')
        await gw.start({ ...support.CONFIG, routes: [{ ...support.CONFIG.routes[0]!, kind, timeoutMs: 2_000 }] })
        const statusOf = async (): Promise<number | 'closed'> => await gw.request('id').then((res) => res.status, () => 'closed')
        chai.expect(await statusOf()).to.equal(200)
        const malformed = malformedResponses.malformedResponses(framing)
        const relayed: string[] = []
        for (const [name, response] of malformed) {
          respond = response
          const status = await statusOf()
          if (status !== 502) relayed.push(`${name}: ${status}`)
        }
        chai.expect(relayed).to.deep.equal([])
        chai.expect(received).to.be.greaterThan(malformed.size)
        respond = malformedResponses.soundResponse(framing)
        chai.expect(await statusOf()).to.equal(200)
      })
    }
  }
})
