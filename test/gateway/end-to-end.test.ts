import type * as http from 'node:http'
import * as net from 'node:net'
import * as chai from 'chai'
import * as time from '../../src/time/index.js'
import * as support from '../support/gateway-process.js'

/** Responds with the id of the request and a `response-stamp` header. */
function respond (req: http.IncomingMessage, res: http.ServerResponse, status: number, headers: Record<string, string> = {}, body = ''): void {
  req.resume()
  req.on('end', () => {
    res.writeHead(status, { 'request-id': req.headers['request-id'] ?? '', 'response-stamp': 's1', ...headers })
    res.end(body)
  })
}

describe('a gateway on the platform', () => {
  it('forwards a call unchanged, with the account instead of the key, and returns the response unchanged', async () => {
    await using gw = new support.GatewayProcess()
    let received: http.IncomingMessage | undefined
    await gw.addServer('i-1', (req, res) => { received = req; respond(req, res, 200, { 'x-own': '7' }, 'done') })
    await gw.start()
    const res = await gw.request('r1', { path: '/r/x?y=1', headers: { tenant: 'forged', 'x-any': 'kept' } })
    chai.expect([res.status, res.body, res.headers['response-stamp'], res.headers['x-own']]).to.deep.equal([200, 'done', 's1', '7'])
    chai.expect(received!.headers).to.include({ tenant: 'acc', 'expect-instance': 'i-1', 'x-any': 'kept', host: 'ledger.example' })
    chai.expect(received!.headers.authorization).to.equal(undefined)
    chai.expect(received!.url).to.equal('/r/x?y=1')
  })

  it('rejects bodies beyond the configured limit', async () => {
    await using gw = new support.GatewayProcess()
    await gw.addServer('i-1', (req, res) => respond(req, res, 200))
    await gw.start()
    chai.expect((await gw.request('r1', { body: 'x'.repeat(1_001) })).status).to.equal(413)
  })

  it('stops without aborting a call that was received, and announces that it closes the connection', async () => {
    await using gw = new support.GatewayProcess()
    await gw.addServer('i-1', (req, res) => { setTimeout(() => respond(req, res, 200, {}, 'late'), 250) })
    await gw.start()
    const running = gw.request('r1')
    await time.delay(new time.SystemTimers(), 50)
    const stopped = gw.stop()
    const newRequest = gw.request('r2')
    chai.expect((await running).body).to.equal('late')
    chai.expect((await newRequest).headers.connection).to.equal('close')
    await stopped
  }).timeout(15_000)
})

describe('a stream that ends with its connection, without length or chunks', () => {
  const STREAM_CONFIG = {
    ...support.CONFIG,
    routes: [{ ...support.CONFIG.routes[0], kind: 'streaming', timeoutMs: 2_000, gapTargetMs: 500 }]
  }

  /** What a caller gets when the target sends these events and then ends or resets the connection. */
  async function relay (events: string, end: (socket: net.Socket) => void): Promise<string> {
    await using gw = new support.GatewayProcess()
    await gw.addServer('i-1', (req) => {
      req.resume()
      req.on('end', () => {
        const head = `HTTP/1.1 200 OK\r\nrequest-id: ${req.headers['request-id']}\r\nresponse-stamp: s1\r\ncontent-type: text/event-stream\r\n\r\n`
        req.socket.write(head + events, () => end(req.socket))
      })
    })
    await gw.start(STREAM_CONFIG)
    return await gw.request('r1').then((res) => `${res.status} ${res.body}`, () => 'broken off')
  }

  it('is complete when the connection ends after an event', async () => {
    chai.expect(await relay('id: 1\ndata: a\n\nid: 2\ndata: b\n\n', (socket) => socket.end())).to.equal('200 id: 1\ndata: a\n\nid: 2\ndata: b\n\n')
  })

  it('is broken off when the connection ends inside an event', async () => {
    chai.expect(await relay('id: 1\ndata: a\n\nid: 2\nda', (socket) => socket.end())).to.equal('broken off')
  })

  it('is broken off when the connection is reset after an event', async () => {
    chai.expect(await relay('id: 1\ndata: a\n\nid: 2\ndata: b\n\n', (socket) => setTimeout(() => socket.resetAndDestroy(), 30))).to.equal('broken off')
  })

  it('is broken off when a reset arrives together with the last event', async () => {
    chai.expect(await relay('id: 1\ndata: a\n\nid: 2\ndata: b\n\n', (socket) => socket.resetAndDestroy())).to.equal('broken off')
  })
})

describe('a stream that broke off and is resumed', () => {
  const HEAD = { 'response-stamp': 's1', 'content-type': 'text/event-stream' }
  const FIRST = 'id: 1\ndata: a\n\n'

  /** What a caller gets over the socket when each attempt after the first, which breaks off, is answered by the next handler. */
  async function resume (maxAttempts: number, answers: readonly http.RequestListener[]): Promise<{ text: string, log: string }> {
    await using gw = new support.GatewayProcess()
    let attempts = 0
    const handler: http.RequestListener = (req, res) => {
      const answer = answers[attempts++ - 1]
      if (answer !== undefined) {
        answer(req, res)
        return
      }
      req.resume()
      res.writeHead(200, { 'request-id': req.headers['request-id'] ?? '', ...HEAD })
      res.write(FIRST, () => setTimeout(() => req.socket.destroy(), 30))
    }
    await gw.addServer('i-1', handler)
    await gw.addServer('i-2', handler)
    await gw.start({ ...support.CONFIG, routes: [{ ...support.CONFIG.routes[0], kind: 'streaming', resumable: true, timeoutMs: 2_000, maxAttempts }] })
    const text = await readToEnd(gw)
    // The caller may notice the close before the gateway does.
    await time.delay(new time.SystemTimers(), 50)
    chai.expect(attempts).to.equal(answers.length + 1)
    return { text, log: gw.lines.join('\n') }
  }

  /** Everything that arrives at the socket of a caller until the connection ends. */
  async function readToEnd (gw: support.GatewayProcess): Promise<string> {
    const socket = net.connect(gw.callerPort, '127.0.0.1')
    let text = ''
    socket.on('data', (chunk) => { text += chunk.toString() })
    socket.on('error', (err) => { text += `[${err.message}]` })
    socket.write('POST /r/x HTTP/1.1\r\nhost: ledger.example\r\nrequest-id: r5\r\nauthorization: Token key1\r\ndeadline-ms: 2500\r\nconnection: close\r\ncontent-length: 1\r\n\r\nb')
    await new Promise((resolve) => { socket.on('close', resolve) })
    return text
  }

  it('gets nothing of an error response of the second target, and does not look complete', async () => {
    const { text, log } = await resume(2, [(req, res) => respond(req, res, 500, {}, 'boom')])
    chai.expect(text.match(/HTTP\/1\.1 \d+/g)).to.deep.equal(['HTTP/1.1 200'])
    // An event in its chunk, and no last chunk.
    chai.expect(text.split('\r\n\r\n').slice(1).join('|')).to.equal(`f\r\n${FIRST}\r\n`)
    chai.expect(log).not.to.match(/event=request_failed/)
    chai.expect(log).to.match(/event=stream_broken_off .*id=r5 .*reason=target_failed detail="status 500" .*relayed_to=1/)
  })

  it('goes on at a third target after an error response of the second one', async () => {
    const { text, log } = await resume(3, [
      (req, res) => respond(req, res, 404, {}, 'boom'),
      (req, res) => respond(req, res, 200, HEAD, 'id: 2\ndata: b\n\n')
    ])
    chai.expect(text).to.match(/^HTTP\/1\.1 200 OK\r\n/)
    chai.expect(text.split('\r\n\r\n').slice(1).join('|')).to.equal(`f\r\n${FIRST}\r\nf\r\nid: 2\ndata: b\n\n\r\n0|`)
    chai.expect(log).to.match(/event=attempt_failed .*id=r5 .*kind=answered reason="status 404"/)
  })
})

// docs/OPERATIONS.md uses these lines to trace a failed request from its id to the cause.
describe('log lines of a failed request', () => {
  it('show a request that was refused because no target accepted it', async () => {
    await using gw = new support.GatewayProcess()
    await gw.addServer('i-1', (req, res) => respond(req, res, 503, { 'not-executed': '1' }))
    await gw.start()
    const res = await gw.request('r1')
    chai.expect(res.status).to.equal(503)
    chai.expect(Number(res.headers['retry-after'])).to.be.greaterThan(0)
    const text = gw.linesOf('r1').join('\n')
    chai.expect(text).to.match(/event=attempt_ended .*target=i-1 list_age_ms=\d+ write_ms=\d+ .*kind=not_run/)
    chai.expect(text).to.match(/event=call_refused .*status=503 .*ran=no/)
  })

  it('show a request that may have been executed and whose response was lost', async () => {
    await using gw = new support.GatewayProcess()
    await gw.addServer('i-1', (req, res) => { req.on('end', () => req.socket.destroy()); req.resume(); res.on('error', () => {}) })
    await gw.start()
    chai.expect((await gw.request('r2')).status).to.equal(502)
    const text = gw.linesOf('r2').join('\n')
    chai.expect(text).to.match(/event=attempt_failed .*target=i-1 .*kind=failed reason=/)
    chai.expect(text).to.match(/event=call_refused .*status=502 .*ran=maybe/)
  })

  it('show a stream that broke off after its first event, and the configuration under which it was admitted', async () => {
    await using gw = new support.GatewayProcess()
    await gw.addServer('i-1', (req, res) => {
      req.resume()
      res.writeHead(200, { 'request-id': req.headers['request-id'] ?? '', 'response-stamp': 's1', 'content-type': 'text/event-stream' })
      res.write('id: 1\ndata: a\n\n', () => setTimeout(() => req.socket.destroy(), 30))
    })
    await gw.start({ ...support.CONFIG, routes: [{ ...support.CONFIG.routes[0], kind: 'streaming', timeoutMs: 2_000 }] })
    chai.expect(await gw.request('r4').then(() => 'complete', () => 'broken off')).to.equal('broken off')
    const text = gw.linesOf('r4').join('\n')
    chai.expect(text).to.match(/event=stream_broken_off .*reason=no_target .*targets_tried=1 relayed_to=1 silent_ms=\d+ left_ms=\d+ config_version=1 current_config_version=1/)
    // The caller may notice the close before the gateway does.
    await time.delay(new time.SystemTimers(), 50)
    chai.expect(gw.linesOf('r4').join('\n')).to.match(/event=response_unfinished .*closed_by=gateway head_sent=true ended=false/)
  })

  it('show a request that was refused because the copy of the keys was stale', async () => {
    await using gw = new support.GatewayProcess()
    await gw.addServer('i-1', (req, res) => respond(req, res, 200))
    await gw.start()
    gw.store.faults.down = true
    await time.delay(new time.SystemTimers(), 4_700)
    chai.expect((await gw.request('r3')).status).to.equal(503)
    chai.expect(gw.linesOf('r3').join('\n')).to.match(/event=call_refused .*reason=key_state_unknown ran=no/)
    chai.expect(gw.lines.join('\n')).to.match(/event=dependency_lost .*dependency=config/)
    chai.expect(gw.metrics.render()).to.contain('godwitpoint_refusals_total{reason="key_state_unknown"')
    chai.expect(gw.lines.join('\n')).not.to.contain('key1')
  }).timeout(15_000)
})
