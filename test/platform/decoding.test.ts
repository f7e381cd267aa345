import * as http from 'node:http'
import * as chai from 'chai'
import * as callerProtocol from '../../platform/caller-protocol.js'
import * as servingConfig from '../../platform/serving-config.js'
import * as targetEntry from '../../platform/target-entry.js'
import * as targetProtocol from '../../platform/target-protocol.js'
import * as build from '../support/gateway-builders.js'

const ENTRY = { service: 's', address: '10.0.0.9:8080', zone: 'z', version: 'v1', slots: 8, state: 'ready', coldLeftMs: 0, stage: 'decode', seq: 4, born: 1_700_000_000_000 }

function entry (over: object): unknown {
  return targetEntry.decodeTarget({ key: 'servers/i-1', version: 1, value: JSON.stringify({ ...ENTRY, ...over }) })
}

function request (headers: Record<string, string>): http.IncomingMessage {
  return { method: 'POST', url: '/a/b?c=d', headers, rawHeaders: Object.entries(headers).flat() } as unknown as http.IncomingMessage
}

describe('server entries', () => {
  it('name a target by id, address, domain and start', () => {
    chai.expect(entry({})).to.deep.include({ id: 'i-1', address: '10.0.0.9:8080', domain: 'z', leaving: false, stage: 'decode', preemptible: false, startedAt: 1_700_000_000_000 })
    chai.expect(entry({ state: 'draining', spot: true })).to.deep.include({ leaving: true, preemptible: true })
  })

  it('of other writers name no target', () => {
    for (const over of [{ state: 'busy' }, { address: 'nowhere' }, { slots: '8' }, { service: 5 }, { born: 1.5 }, { stage: 'both' }]) chai.expect(entry(over)).to.equal(undefined)
    chai.expect(targetEntry.decodeTarget({ key: 'servers/i-1', version: 1, value: 'null' })).to.equal(undefined)
  })
})

describe('callers\' requests', () => {
  it('lose what only this system may set, and the key', () => {
    const req = new callerProtocol.CallerHttp().decode(request({
      Host: 'H.example:80',
      'request-id': 'r1',
      authorization: 'Token abc',
      tenant: 'forged',
      'kv-source': 'x',
      stage: 'prefill',
      'pin-ms': '5',
      connection: 'close, x-hop',
      'x-hop': '1',
      'x-kept': '2',
      'deadline-ms': '900',
      host: 'H.example:80',
      'token-count': '30,5',
      'prompt-prefix': 'a:10,b:20'
    }))
    chai.expect(req).to.deep.include({ id: 'r1', key: 'abc', waitMs: 900, host: 'h.example', path: '/a/b?c=d' })
    chai.expect(req.prompt).to.deep.equal({ promptTokens: 30, outputTokens: 5, segments: [{ id: 'a', tokens: 10 }, { id: 'b', tokens: 20 }] })
    const names = req.headers.filter((_, index) => index % 2 === 0).map((name) => name.toLowerCase())
    chai.expect(names).to.include.members(['x-kept', 'request-id', 'token-count', 'prompt-prefix'])
    for (const name of ['authorization', 'tenant', 'kv-source', 'stage', 'pin-ms', 'connection', 'x-hop', 'deadline-ms']) chai.expect(names).not.to.include(name)
  })
})

describe('sends to servers', () => {
  const protocol = new targetProtocol.ServerHttp()

  it('name the account, the server that is meant, the time left and the rank', () => {
    const headers = protocol.encodeHeaders(build.aCall({ account: 'acc' }), { target: build.aTarget('i-1'), remainingMs: 1_234.9, priority: 12, kvSource: { address: '1.2.3.4:5', handle: 'h' } })
    const text = headers.join(' ')
    for (const part of ['tenant acc', 'expect-instance i-1', 'deadline-ms 1234', 'request-priority 9', 'kv-source 1.2.3.4:5/h']) chai.expect(text).to.contain(part)
  })

  it('are answered with a head that says whether the call ran, without what is meant for this system', () => {
    const head = protocol.decodeHead(503, { 'request-id': 'r', 'not-executed': '1', 'server-load': '3,1,8', 'response-stamp': 's', connection: 'close', 'content-length': '0' })
    chai.expect(head).to.deep.include({ id: 'r', notExecuted: true, load: { running: 3, waiting: 1, slots: 8 }, headers: ['request-id', 'r', 'response-stamp', 's'] })
  })

  it('for handles and cache events survive wrong bytes', () => {
    chai.expect(protocol.decodeKvHandle(Buffer.from('\u0000{'))).to.equal(undefined)
    chai.expect(protocol.decodeCacheChanges(Buffer.from('{"epoch":1}'))).to.equal(undefined)
    chai.expect(protocol.decodeCacheChanges(Buffer.from('{"epoch":1,"next":3,"lost":false,"events":[[2,"+","","ab",64,"m"]]}'))).to.deep.equal({ epoch: 1, next: 3, changes: [{ id: 'ab', tokens: 64 }] })
  })
})

describe('configuration', () => {
  it('is decoded into what may be repeated, who is patient for how long, and who pays what', () => {
    const route = { name: 'r', host: 'H', pathPrefix: '/p/', kind: 'streaming', timeoutMs: 5_000, sloMs: 400, priority: 2, service: 's', maxAttempts: 2, public: false, sticky: true, resumable: true, gapTargetMs: 400 }
    const service = { name: 's', healthPath: '/h', maxConns: 5, protocol: 'h1', tls: false, engine: { slots: 4, kvCapacity: 100 }, autoscale: { min: 1, max: 4, bootS: 4, spotPrice: 0.2, zonePrices: { z: 1 } } }
    const text = JSON.stringify({ version: '7', routes: [route, { ...route, name: 'q', kind: 'unsafe' }], services: [service], limits: { maxHeaderBytes: 1, maxBodyBytes: 2, headerTimeoutMs: 3, idleTimeoutMs: 4 }, tenants: [{ name: 't', apiKeys: ['k'] }] })
    const config = servingConfig.decodeConfig(text)
    chai.expect(config.version).to.equal(7)
    chai.expect(config.routes.map((one) => [one.idempotency, one.streaming, one.callerIdleTimeoutMs, one.host])).to.deep.equal([['resumable', true, 3_200, 'h'], ['non_idempotent', false, 5_000, 'h']])
    chai.expect(config.services.get('s')?.orders).to.deep.include({ max: 4, deliveryMs: 4_000, preemptiblePrice: 0.2 })
  })
})
