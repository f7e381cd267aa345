import type * as http from 'node:http'
import * as chai from 'chai'
import * as time from '../../src/time/index.js'
import * as support from '../support/gateway-process.js'
import * as raw from '../support/raw-caller.js'

const LARGE_BYTES = 4 * 1024 * 1024

const LIMITS = { maxHeaderBytes: 16_384, maxBodyBytes: 1_000, headerTimeoutMs: 6_000, idleTimeoutMs: 5_000 }

const ROUTES = [
  { ...support.CONFIG.routes[0]!, timeoutMs: 6_000 },
  { ...support.CONFIG.routes[0]!, name: 'events', pathPrefix: '/s/', kind: 'streaming', timeoutMs: 6_000, gapTargetMs: 2_000 }
]

const BASE = { ...support.CONFIG, version: 1, routes: ROUTES, limits: LIMITS }

interface Change {
  readonly name: string
  /** Versions that are written one after another. */
  readonly versions: ReadonlyArray<Partial<typeof BASE>>
  /** Whether requests that were not whole before the change may be refused. */
  readonly mayRefuse?: boolean
}

const withLimits = (limits: Partial<typeof LIMITS>): Partial<typeof BASE> => ({ limits: { ...LIMITS, ...limits } })

const CHANGES: readonly Change[] = [
  { name: 'a shorter idle timeout', versions: [withLimits({ idleTimeoutMs: 100 })] },
  { name: 'idle timeouts up and down many times', versions: [100, 20_000, 100, 9_000, 200].map((idleTimeoutMs) => withLimits({ idleTimeoutMs })) },
  { name: 'header timeouts down and up many times', versions: [100, 20_000, 200, 100].map((headerTimeoutMs) => withLimits({ headerTimeoutMs })) },
  { name: 'smaller bodies and headers', versions: [withLimits({ maxBodyBytes: 10, maxHeaderBytes: 400 })] },
  { name: 'a shorter route timeout', versions: [{ routes: ROUTES.map((route) => ({ ...route, timeoutMs: 4_000 })) }] },
  { name: 'a route that moves to another service', versions: [{ services: [...BASE.services, { name: 'other', maxConns: 50 }], routes: ROUTES.map((route) => ({ ...route, service: 'other' })) }], mayRefuse: true },
  { name: 'a route that is removed', versions: [{ routes: [] }], mayRefuse: true },
  { name: 'an account that is removed', versions: [{ tenants: [] }], mayRefuse: true }
]

/** A target that holds responses back until released. */
class HeldTarget {
  readonly arrived = new Set<string>()
  private readonly waiting: Array<() => void> = []
  private released = false

  release (): void {
    this.released = true
    for (const respond of this.waiting) respond()
  }

  serve (req: http.IncomingMessage, res: http.ServerResponse): void {
    const id = String(req.headers['request-id'])
    const headers = { 'request-id': id, 'response-stamp': 's1' }
    req.resume()
    req.on('end', () => {
      this.arrived.add(id)
      if (id === 'large') res.writeHead(200, headers).end('x'.repeat(LARGE_BYTES) + 'done large')
      else if (id === 'stream') {
        res.writeHead(200, { ...headers, 'content-type': 'text/event-stream' })
        res.write('id: 1\ndata: first\n\n')
        this.whenReleased(() => res.end('id: 2\ndata: done stream\n\n'))
      } else if (id.startsWith('held')) this.whenReleased(() => res.writeHead(200, headers).end(`done ${id}`))
      else res.writeHead(200, headers).end(`done ${id}`)
    })
  }

  private whenReleased (respond: () => void): void {
    if (this.released) respond()
    else this.waiting.push(respond)
  }
}

async function delay (ms: number): Promise<void> {
  await time.delay(new time.SystemTimers(), ms)
}

describe('no request stays without a response because the configuration changes meanwhile', () => {
  for (const change of CHANGES) {
    it(change.name, async () => {
      await using gw = new support.GatewayProcess()
      const target = new HeldTarget()
      await gw.addServer('i-1', (req, res) => target.serve(req, res))
      await gw.start(BASE)
      const callers = Array.from({ length: 9 }, () => new raw.RawCaller(gw.callerPort))
      const [idle, headPart, lengthPart, chunkPart, expecting, held, pipelined, stream, large] = callers as [raw.RawCaller, raw.RawCaller, raw.RawCaller, raw.RawCaller, raw.RawCaller, raw.RawCaller, raw.RawCaller, raw.RawCaller, raw.RawCaller]
      const one = ['Content-Length: 1']
      const nextHead = raw.requestHead('head', one)
      const sendNow = (caller: raw.RawCaller, id: string, path = '/r/x'): void => caller.send(raw.requestHead(id, one, `POST ${path} HTTP/1.1`) + 'b')

      large.setReading(false)
      sendNow(idle, 'idle0')
      headPart.send(nextHead.slice(0, 40))
      lengthPart.send(raw.requestHead('length', ['Content-Length: 6']) + 'abc')
      chunkPart.send(raw.requestHead('chunks', ['Transfer-Encoding: chunked']) + '3\r\nabc\r\n')
      expecting.send(raw.requestHead('expecting', ['Content-Length: 6', 'Expect: 100-continue']))
      sendNow(held, 'held1')
      sendNow(pipelined, 'held2')
      sendNow(pipelined, 'next')
      sendNow(stream, 'stream', '/s/x')
      sendNow(large, 'large')
      await Promise.all([idle.receive('done idle0'), expecting.receive('100 Continue'), stream.receive('data: first')])
      while (!['held1', 'held2', 'next', 'large'].every((id) => target.arrived.has(id))) await delay(5)

      for (const [index, version] of change.versions.entries()) await gw.change({ ...BASE, ...version, version: index + 2 })
      await delay(700)
      target.release()
      sendNow(idle, 'idle1')
      headPart.send(nextHead.slice(40) + 'b')
      lengthPart.send('def')
      chunkPart.send('3\r\ndef\r\n0\r\n\r\n')
      expecting.send('abcdef')
      large.setReading(true)

      await Promise.all([held.receive('done held1'), pipelined.receive(/done held2.*done next/s), stream.receive(/done stream.*\r\n0\r\n\r\n/s), large.receive('done large')])
      const late: Array<[raw.RawCaller, string]> = [[idle, 'idle1'], [headPart, 'head'], [lengthPart, 'length'], [chunkPart, 'chunks'], [expecting, 'expecting']]
      for (const [caller, id] of late) await caller.receive(change.mayRefuse === true ? /HTTP\/1.1 (401|404|503) / : `done ${id}`)
      for (const caller of callers) caller[Symbol.dispose]()
      chai.expect(gw.lines.filter((line) => line.includes('response_unfinished'))).to.deep.equal([])
    }).timeout(20_000)
  }
})
