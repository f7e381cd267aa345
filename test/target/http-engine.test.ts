import * as http from 'node:http'
import type * as net from 'node:net'
import * as chai from 'chai'
import { HttpTargetClients, STALL_TIMEOUT_MS, type GenerateReq } from '../../src/target-clients/index.js'

const REQ: GenerateReq = { id: 'a', model: 'm', prompt: 'p', maxTokens: 1, priority: 5, seed: 1, from: 0 }
const END = 'data: {"index":0,"text":" x"}\n\ndata: {"end":{"prompt_tokens":1,"cached_tokens":0,"output_tokens":1}}\n\n'

/** An engine whose existing connections can be stalled for good; new connections work. */
async function stallableEngine () {
  const stalled = new Set<net.Socket>()
  const sockets = new Set<net.Socket>()
  const server = http.createServer((req, res) => {
    sockets.add(req.socket)
    if (stalled.has(req.socket)) return
    res.writeHead(200)
    res.write(': keep-alive\n\n')
    if (!stalled.has(req.socket)) res.end(END)
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return {
    url: `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`,
    stall: () => { for (const socket of sockets) stalled.add(socket) },
    connections: () => sockets.size,
    [Symbol.asyncDispose]: async () => { server.closeAllConnections(); await new Promise<void>((resolve) => { server.close(() => resolve()) }) }
  }
}

describe('HttpEngine', () => {
  it('detects a stalled connection within 3 s and no longer uses the idle connections of the same pool', async () => {
    await using engine = await stallableEngine()
    await using clients = new HttpTargetClients()
    const client = clients.engine(engine.url)
    const call = async () => await client.generate(REQ, () => {}, new AbortController().signal)
    chai.expect((await Promise.all([call(), call(), call()])).every((end) => end.ok)).to.equal(true)
    chai.expect(engine.connections()).to.equal(3)
    engine.stall()
    const startedAt = performance.now()
    const stalledResult = await call()
    chai.expect(stalledResult.err && stalledResult.val.kind).to.equal('silent')
    chai.expect(performance.now() - startedAt).to.be.within(STALL_TIMEOUT_MS - 600, 3_000)
    chai.expect((await Promise.all([call(), call(), call()])).every((end) => end.ok)).to.equal(true)
  })

  it('stops reading while the sink has not accepted a chunk', async () => {
    await using engine = await stallableEngine()
    await using clients = new HttpTargetClients()
    let release = (): void => {}
    let ended = false
    const sinkReady = new Promise<void>((resolve) => { release = resolve })
    const call = clients.engine(engine.url).generate(REQ, () => sinkReady, new AbortController().signal).then((end) => { ended = true; return end })
    await new Promise((resolve) => { setTimeout(resolve, 50) })
    chai.expect(ended).to.equal(false)
    release()
    chai.expect((await call).ok).to.equal(true)
  })
})
