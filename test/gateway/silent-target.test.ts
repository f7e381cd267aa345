import type * as http from 'node:http'
import * as chai from 'chai'
import * as time from '../../src/time/index.js'
import * as support from '../support/gateway-process.js'

const [ROUTE] = support.CONFIG.routes

const CONFIG = {
  ...support.CONFIG,
  routes: [
    { ...ROUTE, kind: 'safe', timeoutMs: 3_000, maxAttempts: 2 },
    { ...ROUTE, name: 'stream', pathPrefix: '/s/', kind: 'streaming', resumable: true, timeoutMs: 4_000, gapTargetMs: 500, maxAttempts: 2 }
  ]
}

function begin (req: http.IncomingMessage, res: http.ServerResponse): void {
  req.resume()
  res.writeHead(200, { 'request-id': req.headers['request-id'] ?? '', 'response-stamp': 's1' })
}

// Guards against calls that end without a complete response because their sound target was silent for a second.
describe('a gateway with a target that is silent for 1.1 s', () => {
  it('returns the complete response of the only target', async () => {
    await using gw = new support.GatewayProcess()
    await gw.addServer('i-1', (req, res) => { setTimeout(() => { begin(req, res); res.end('late') }, 1_100) })
    await gw.start(CONFIG)
    const res = await gw.request('r1')
    chai.expect([res.status, res.body]).to.deep.equal([200, 'late'])
  }).timeout(15_000)

  it('relays a complete stream that was silent after its first event', async () => {
    await using gw = new support.GatewayProcess()
    await gw.addServer('i-1', (req, res) => {
      begin(req, res)
      res.write('id: 1\ndata: a\n\n')
      setTimeout(() => res.end('id: 2\ndata: b\n\n'), 1_100)
    })
    await gw.start(CONFIG)
    const res = await gw.request('r1', { path: '/s/x', headers: { 'deadline-ms': '4000' } })
    chai.expect([res.status, res.body]).to.deep.equal([200, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'])
  }).timeout(15_000)

  it('returns the response of a second target at once, and closes the connection to the silent one', async () => {
    await using gw = new support.GatewayProcess()
    const ended: string[] = []
    let requests = 0
    const serve = (id: string): http.RequestListener => (req, res) => {
      res.on('close', () => ended.push(`${id} ${res.writableFinished ? 'sent' : 'closed'}`))
      if (++requests === 1) req.resume()
      else { begin(req, res); res.end('fast') }
    }
    await gw.addServer('i-1', serve('i-1'))
    await gw.addServer('i-2', serve('i-2'))
    await gw.start(CONFIG)
    const startedAt = Date.now()
    const res = await gw.request('r1')
    chai.expect([res.status, res.body, Date.now() - startedAt < 1_000]).to.deep.equal([200, 'fast', true])
    await time.delay(new time.SystemTimers(), 200)
    chai.expect(ended.map((line) => line.slice(4)).sort()).to.deep.equal(['closed', 'sent'])
    chai.expect(gw.linesOf('r1').join('\n')).to.match(/event=attempt_ended .*beside=true .*kind=answered/).and.match(/event=attempt_ended .*kind=stopped stopped_by=other_won/)
  }).timeout(15_000)
})
