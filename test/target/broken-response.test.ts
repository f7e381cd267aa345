import type * as net from 'node:net'
import * as chai from 'chai'
import * as targetClients from '../../src/target-clients/index.js'
import * as earlyServer from '../support/early-server.js'
import * as malformedResponses from '../support/malformed-responses.js'

const HEAD = 'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n'

const CACHE_EVENTS = '{"events":[],"next":1}'

const BODIES = {
  short: Buffer.from('b'),
  'still being written': Buffer.alloc(earlyServer.LONG_BODY_BYTES, 'b')
}

const CALLS = 10

function unframed (body: string, close: (socket: net.Socket) => void): earlyServer.EarlyServer {
  return new earlyServer.EarlyServer((socket) => {
    socket.write(HEAD + body)
    close(socket)
  })
}

async function callPlain (clients: targetClients.HttpTargetClients, address: string, body: Uint8Array, keepAlive: boolean): Promise<string> {
  const req = { id: 'a', method: 'POST', path: '/', contentType: 'text/plain', body, keepAlive }
  const res = await clients.plain(`http://${address}`).call(req, new AbortController().signal)
  return res.ok ? `${res.val.status} ${Buffer.from(res.val.body).toString()}` : `${res.val.kind}, ran ${res.val.ran}`
}

// A part of a body was passed on as a whole response.
describe('a response of a plain service without a length', () => {
  for (const [name, body] of Object.entries(BODIES)) {
    for (const keepAlive of [false, true]) {
      for (const [close, expected] of [['reset', 'broken, ran maybe'], ['end', '200 part'], ['endAndReset', '200 part']] as const) {
        it(`is whole only if the service ended it: request ${name}, ${keepAlive ? 'pooled' : 'new'} connection, ${close}`, async () => {
          await using server = unframed('part', earlyServer.CLOSES[close])
          await using clients = new targetClients.HttpTargetClients()
          const address = await server.listen()
          for (let call = 0; call < CALLS; call++) chai.expect(await callPlain(clients, address, body, keepAlive)).to.equal(expected)
        })
      }
    }
  }
})

describe('a response of an engine without a length', () => {
  it('is an error when it was reset', async () => {
    for (const [close, ok] of [['reset', false], ['end', true], ['endAndReset', true]] as const) {
      await using server = unframed(CACHE_EVENTS, earlyServer.CLOSES[close])
      await using clients = new targetClients.HttpTargetClients()
      const batch = await clients.engine(`http://${await server.listen()}`).cacheEvents(0)
      chai.expect(batch.ok, close).to.equal(ok)
    }
  })

  // An assertion of the HTTP client failed outside of any call, which ends a process.
  for (const close of ['end', 'endAndReset', 'reset'] as const) {
    it(`may close while the reader of its stream waits: ${close}`, async () => {
      const events = `data: {"index":0,"text":"${'x'.repeat(100_000)}"}\n\n`.repeat(3)
      await using server = new earlyServer.EarlyServer((socket) => {
        socket.write(HEAD + events)
        setTimeout(() => earlyServer.CLOSES[close](socket), 20)
      })
      await using clients = new targetClients.HttpTargetClients()
      const req = { id: 'a', model: 'm', prompt: 'p', maxTokens: 1, priority: 5, seed: 1, from: 0 }
      const sink = async (): Promise<void> => { await new Promise((resolve) => setTimeout(resolve, 60)) }
      const end = await clients.engine(`http://${await server.listen()}`).generate(req, sink, new AbortController().signal)
      chai.expect(end.err && end.val.kind).to.equal('broken')
    })
  }
})

// Reported of other systems: callers got answers with status 000, and lines whose name held a blank or a control byte.
describe('a response of a target whose head is malformed', () => {
  for (const framing of malformedResponses.FRAMING_NAMES) {
    it(`is an error: with ${framing}`, async () => {
      let respond = malformedResponses.soundResponse(framing)
      await using server = new earlyServer.EarlyServer((socket) => { socket.end(respond('a')) })
      await using clients = new targetClients.HttpTargetClients()
      const address = await server.listen()
      chai.expect(await callPlain(clients, address, BODIES.short, false)).to.match(/^200 /)
      const accepted: string[] = []
      for (const [name, response] of malformedResponses.malformedResponses(framing)) {
        respond = response
        const outcome = await callPlain(clients, address, BODIES.short, false)
        if (outcome !== 'broken, ran maybe') accepted.push(`${name}: ${outcome}`)
      }
      chai.expect(accepted).to.deep.equal([])
    })
  }
})
