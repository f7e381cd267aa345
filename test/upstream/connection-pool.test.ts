import * as net from 'node:net'
import * as chai from 'chai'
import * as metrics from '../../src/metrics/index.js'
import * as time from '../../src/time/index.js'
import * as upstream from '../../src/upstream/index.js'

type Script = (socket: net.Socket, request: string, turn: number) => void

/** A server that answers each request by a script. */
class ScriptedServer implements AsyncDisposable {
  connections = 0
  private turns = 0
  private readonly server: net.Server
  private readonly sockets = new Set<net.Socket>()

  constructor (script: Script) {
    this.server = net.createServer((socket) => {
      this.connections++
      this.sockets.add(socket)
      socket.on('error', () => socket.destroy())
      socket.on('data', (data) => script(socket, data.toString('latin1'), this.turns++))
    })
  }

  async listen (): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    for (const socket of this.sockets) socket.destroy()
    await new Promise<void>((resolve) => this.server.close(() => resolve()))
  }
}

interface Outcome {
  readonly kind: 'end' | 'fail'
  readonly body: string
  readonly written: boolean
}

async function send (pool: upstream.ConnectionPool, address: string, once = false): Promise<Outcome> {
  return await new Promise((resolve) => {
    let body = ''
    pool.send({ address, method: 'GET', path: '/', headers: ['host', 'h'], body: new Uint8Array(0), nonIdempotent: once }, {
      onHead: () => {},
      onData: (chunk) => { body += Buffer.from(chunk).toString() },
      onEnd: () => resolve({ kind: 'end', body, written: true }),
      onError: (err) => resolve({ kind: 'fail', body, written: err.written })
    })
  })
}

function createPool (): upstream.ConnectionPool {
  return new upstream.ConnectionPool({ env: time.systemEnv(), metrics: new metrics.Metrics() })
}

describe('connection pool', () => {
  it('takes a reset inside an answer without a length as a failure, not as its end', async () => {
    await using server = new ScriptedServer((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart of the body')
      setTimeout(() => socket.resetAndDestroy(), 30)
    })
    using pool = createPool()
    chai.expect(await send(pool, await server.listen())).to.include({ kind: 'fail', body: 'part of the body' })
  })

  it('takes a reset that arrives together with the last bytes as a failure', async () => {
    await using server = new ScriptedServer((socket) => {
      socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart of the body', () => socket.resetAndDestroy())
    })
    using pool = createPool()
    const address = await server.listen()
    for (let turn = 0; turn < 20; turn++) chai.expect((await send(pool, address)).kind).to.equal('fail')
  })

  it('takes the end of the connection as the end of an answer without a length', async () => {
    await using server = new ScriptedServer((socket) => socket.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nwhole'))
    using pool = createPool()
    chai.expect(await send(pool, await server.listen())).to.include({ kind: 'end', body: 'whole' })
  })

  it('does not use a connection again on which bytes follow an answer', async () => {
    await using server = new ScriptedServer((socket, _request, turn) => {
      const one = `HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n${turn === 0 ? 'ab' : 'cd'}`
      socket.write(turn === 0 ? one + one : one)
    })
    using pool = createPool()
    const address = await server.listen()
    chai.expect(await send(pool, address)).to.include({ kind: 'end', body: 'ab' })
    await new Promise((resolve) => setTimeout(resolve, 30))
    chai.expect(await send(pool, address)).to.include({ kind: 'end', body: 'cd' })
    chai.expect(server.connections).to.equal(2)
  })

  it('sends a request once when its connection breaks, and says that it was written', async () => {
    let requests = 0
    await using server = new ScriptedServer((socket) => {
      requests++
      socket.resetAndDestroy()
    })
    using pool = createPool()
    chai.expect(await send(pool, await server.listen())).to.include({ kind: 'fail', written: true })
    await new Promise((resolve) => setTimeout(resolve, 50))
    chai.expect(requests).to.equal(1)
  })

  it('learns from a connection that was lost after a rest: calls that may run once use no connection that rested as long', async () => {
    const answered = new WeakMap<net.Socket, number>()
    await using server = new ScriptedServer((socket) => {
      const forgotten = performance.now() - (answered.get(socket) ?? Infinity) > 100
      if (forgotten) socket.resetAndDestroy()
      else socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab')
      answered.set(socket, performance.now())
    })
    using pool = createPool()
    const address = await server.listen()
    const rest = async (ms: number): Promise<void> => { await new Promise((resolve) => setTimeout(resolve, ms)) }
    chai.expect(await send(pool, address, true)).to.include({ kind: 'end' })
    await rest(200)
    chai.expect(await send(pool, address, true)).to.include({ kind: 'fail', written: true })
    for (let turn = 0; turn < 3; turn++) {
      chai.expect(await send(pool, address, true)).to.include({ kind: 'end' })
      await rest(200)
    }
    chai.expect(await send(pool, address)).to.include({ kind: 'end' })
  })

  it('says that nothing was written when no connection could be opened', async () => {
    const server = new ScriptedServer(() => {})
    const address = await server.listen()
    await server[Symbol.asyncDispose]()
    using pool = createPool()
    chai.expect(await send(pool, address)).to.include({ kind: 'fail', written: false })
  })
})
