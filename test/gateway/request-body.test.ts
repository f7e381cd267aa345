import * as http from 'node:http'
import type * as net from 'node:net'
import * as chai from 'chai'
import * as bytes from '../../src/bytes/index.js'
import * as errors from '../../src/errors/index.js'
import * as requestBody from '../../src/gateway/request-body.js'
import * as time from '../../src/time/index.js'
import * as memory from '../support/memory.js'
import * as support from '../support/gateway-process.js'
import * as raw from '../support/raw-caller.js'

const LIMITS = { headerBytes: 10_000, bodyBytes: 1_000, headerTimeoutMs: 5_000, idleTimeoutMs: 100 }

async function delay (ms: number): Promise<void> {
  await time.delay(new time.SystemTimers(), ms)
}

/** A server that reads one body and keeps it until disposed; `outcome` is set when the body was read. */
class BodyServer implements AsyncDisposable {
  readonly memory: bytes.ByteBudget
  readonly outcomes: string[] = []
  port = 0
  private readonly server: http.Server

  constructor (maxBytes: number, limits = LIMITS) {
    this.memory = new bytes.ByteBudget(maxBytes)
    this.server = http.createServer((req, res) => {
      const body = new requestBody.RequestBody(this.memory, new time.SystemTimers(), limits)
      body.read(req, res).then((outcome) => { this.outcomes.push(outcome instanceof errors.Refusal ? outcome.reason : String(outcome?.length)) }, (err: unknown) => { this.outcomes.push(String(err)) })
    })
  }

  async listen (): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve))
    this.port = (this.server.address() as net.AddressInfo).port
  }

  async outcome (count: number): Promise<string[]> {
    while (this.outcomes.length < count) await delay(5)
    return this.outcomes
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise<void>((resolve) => { this.server.close(() => resolve()) })
  }
}

describe('bodies of requests', () => {
  it('bodies that are still arriving count against the memory for bodies', async () => {
    await using server = new BodyServer(800, { ...LIMITS, idleTimeoutMs: 5_000 })
    await server.listen()
    using first = new raw.RawCaller(server.port)
    using second = new raw.RawCaller(server.port)
    first.send(raw.requestHead('r1', ['Content-Length: 900']) + 'x'.repeat(600))
    while (server.memory.heldBytes < 600) await delay(5)
    second.send(raw.requestHead('r2', ['Content-Length: 900']) + 'x'.repeat(600))
    chai.expect(await server.outcome(1)).to.deep.equal(['entry_queue_full'])
  })

  it('chunks of a body that arrive after it was refused as too slow are not held', async () => {
    await using server = new BodyServer(10_000)
    await server.listen()
    using caller = new raw.RawCaller(server.port)
    caller.send(raw.requestHead('r1', ['Content-Length: 900']) + 'x'.repeat(10))
    chai.expect(await server.outcome(1)).to.deep.equal(['request_too_slow'])
    caller.send('x'.repeat(800))
    await delay(100)
    chai.expect(server.memory.heldBytes).to.equal(10)
  })

  // Chunks of two bytes were kept one by one, and a body below the limit ended the process at its heap limit.
  it('a body in short chunks needs memory for its bytes, not for its chunks', async () => {
    const bodyBytes = 512 * 1024
    await using server = new BodyServer(bodyBytes, { ...LIMITS, bodyBytes, idleTimeoutMs: 5_000 })
    await server.listen()
    using caller = new raw.RawCaller(server.port)
    const before = memory.usedHeapBytes()
    caller.send(raw.requestHead('r1', ['Transfer-Encoding: chunked']))
    for (let sent = 0; sent < bodyBytes; sent += 8_192) caller.send('2\r\nxx\r\n'.repeat(4_096))
    while (server.memory.heldBytes < bodyBytes) await delay(5)
    chai.expect(memory.usedHeapBytes() - before).to.be.lessThan(8 * bodyBytes)
    caller.send('0\r\n\r\n')
    chai.expect(await server.outcome(1)).to.deep.equal([String(bodyBytes)])
  })

  it('a refusal reaches a caller that reads it only after it has sent its body', async () => {
    await using gw = new support.GatewayProcess()
    await gw.start()
    using caller = new raw.RawCaller(gw.callerPort)
    caller.setReading(false)
    caller.send(raw.requestHead('r1', ['Content-Length: 3000']) + 'x'.repeat(1_000))
    for (let sent = 1_000; sent < 3_000; sent += 500) {
      await delay(100)
      caller.send('x'.repeat(500))
    }
    await delay(100)
    caller.setReading(true)
    await caller.receive('HTTP/1.1 413')
    await caller.closed()
    chai.expect(caller.state).to.equal('ended')
  })

  it('a caller that does not send the rest of a refused body does not keep the connection open', async () => {
    await using gw = new support.GatewayProcess()
    await gw.start()
    using caller = new raw.RawCaller(gw.callerPort)
    caller.send(raw.requestHead('r1', ['Content-Length: 3000']) + 'x')
    await caller.receive('HTTP/1.1 413')
    await caller.closed()
  })
})
