import * as chai from 'chai'
import type * as gateway from '../../src/gateway/index.js'
import * as httpFrontend from '../../src/gateway/http-frontend.js'
import * as log from '../../src/log/index.js'
import * as metrics from '../../src/metrics/index.js'
import * as resources from '../../src/resources/index.js'
import * as time from '../../src/time/index.js'
import * as callerProtocol from '../../platform/caller-protocol.js'
import * as ports from '../support/ports.js'
import * as raw from '../support/raw-caller.js'

const BODY_BYTES = 4 * 1024 * 1024
const CHUNKED = ['Transfer-Encoding: chunked']
const HEAD = { status: 200, notExecuted: false, wrongTarget: false, encoded: false, headers: [] }

/** A frontend within limits that responds to each request with `respond(body)`. */
class LimitedFrontend implements AsyncDisposable {
  readonly metrics = new metrics.Metrics()
  readonly bodies: number[] = []
  private readonly frontend: httpFrontend.HttpFrontend
  private readonly resources: resources.ProcessResources
  port = 0

  constructor (limits: Partial<resources.ProcessLimits>, idleTimeoutMs = 5_000, responseBytes = 2) {
    const deps = { env: time.systemEnv(), log: log.SILENT_LOGGER, metrics: this.metrics }
    const handle: gateway.CallHandler['handle'] = async (_req, body, reply) => {
      this.bodies.push(body.length)
      reply.send(HEAD, Buffer.alloc(responseBytes, 'ok'))
      return undefined
    }
    this.resources = new resources.ProcessResources({ ...deps, limits: { ...resources.computeLimits({}, 0), ...limits }, process: resources.NOT_MEASURED })
    const callerLimits = { headerBytes: 16_384, bodyBytes: BODY_BYTES, headerTimeoutMs: 5_000, idleTimeoutMs }
    this.frontend = new httpFrontend.HttpFrontend({ ...deps, protocol: new callerProtocol.HttpCallerProtocol(), handler: { handle }, limits: () => callerLimits, accountOf: (key) => key, resources: this.resources })
  }

  get heldBytes (): number {
    return this.resources.buffers.heldBytes
  }

  dropped (reason: string): number {
    return this.metrics.counter('godwitpoint_callers_dropped_total', `reason="${reason}"`)
  }

  async listen (): Promise<void> {
    this.port = await ports.freePort()
    await this.frontend.listen('127.0.0.1', this.port)
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    await this.frontend[Symbol.asyncDispose]()
  }
}

async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await time.delay(new time.SystemTimers(), 5)
}

describe('limits on what callers hold', () => {
  // Input that waits for its turn must not be lost, also where a body fills the smallest budget.
  for (const size of [1, 2, 700, 65_536]) {
    it(`serve the largest body in chunks of ${size} bytes, and release all of it`, async () => {
      await using frontend = new LimitedFrontend({ bufferBytes: 12 * 1024 * 1024 })
      await frontend.listen()
      using caller = new raw.RawCaller(frontend.port)
      caller.send(raw.requestHead('r1', CHUNKED) + `${size.toString(16)}\r\n${'x'.repeat(size)}\r\n`.repeat(Math.floor(BODY_BYTES / size)) + '0\r\n\r\n')
      await until(() => frontend.bodies.length > 0)
      await caller.receive('HTTP/1.1 200')
      chai.expect(frontend.bodies).to.deep.equal([Math.floor(BODY_BYTES / size) * size])
      caller[Symbol.dispose]()
      await until(() => frontend.heldBytes === 0)
    }).timeout(60_000)
  }

  it('serve all of many pipelined requests in their order', async () => {
    await using frontend = new LimitedFrontend({})
    await frontend.listen()
    using caller = new raw.RawCaller(frontend.port)
    const bodies = Array.from({ length: 300 }, (_, index) => index % 100)
    caller.send(bodies.map((size) => raw.requestHead('r', [`Content-Length: ${size}`]) + 'x'.repeat(size)).join(''))
    await until(() => caller.received.split('HTTP/1.1 200').length > bodies.length)
    chai.expect(frontend.bodies).to.deep.equal(bodies)
  })

  // The newest body was refused, so that a few unfinished ones kept all others out.
  it('refuse the body that has progressed least as not executed, and serve the one that goes on', async () => {
    await using frontend = new LimitedFrontend({ bufferBytes: 6 * 1024 * 1024 })
    await frontend.listen()
    using stalled = new raw.RawCaller(frontend.port)
    stalled.send(raw.requestHead('r1', ['Content-Length: 4000000']) + 'x'.repeat(2_500_000))
    await until(() => frontend.heldBytes > 2_500_000)
    using active = new raw.RawCaller(frontend.port)
    active.send(raw.requestHead('r2', ['Content-Length: 2500000']).replace('key1', 'key2') + 'x'.repeat(2_500_000))
    await stalled.receive('HTTP/1.1 503')
    await active.receive('HTTP/1.1 200')
    chai.expect(stalled.received).to.match(/retry-after/i)
    chai.expect(frontend.bodies).to.deep.equal([2_500_000])
  })

  it('close a connection whose response is not read for the idle timeout', async () => {
    await using frontend = new LimitedFrontend({}, 300, 16 * 1024 * 1024)
    await frontend.listen()
    using caller = new raw.RawCaller(frontend.port)
    caller.setReading(false)
    // Also the response that waits for the first one must be released.
    caller.send(raw.requestHead('r1', ['Content-Length: 0']).repeat(2))
    await until(() => frontend.heldBytes > 16 * 1024 * 1024)
    await until(() => frontend.dropped('output_not_read') === 1)
    await until(() => frontend.heldBytes === 0)
  })

  it('replace a connection that was not used by a new one when descriptors are short, and none that has a request', async () => {
    await using frontend = new LimitedFrontend({ callerConnections: 4 })
    await frontend.listen()
    using busy = new raw.RawCaller(frontend.port)
    busy.send(raw.requestHead('r1', ['Content-Length: 10']) + 'x')
    await until(() => frontend.heldBytes > 0)
    const callers = Array.from({ length: 10 }, () => new raw.RawCaller(frontend.port))
    callers.at(-1)!.send(raw.requestHead('r2', ['Content-Length: 0']))
    await callers.at(-1)!.receive('HTTP/1.1 200')
    busy.send('x'.repeat(9))
    await busy.receive('HTTP/1.1 200')
    chai.expect(callers.filter((caller) => caller.state === 'open').length).to.be.at.most(3)
    for (const caller of callers) caller[Symbol.dispose]()
  })
})
