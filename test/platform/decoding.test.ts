import * as http from 'node:http'
import * as chai from 'chai'
import * as callerProtocol from '../../platform/caller-protocol.js'
import * as servingConfig from '../../platform/serving-config.js'
import * as targetEntry from '../../platform/target-entry.js'
import * as targetProtocol from '../../platform/target-protocol.js'
import * as build from '../support/gateway-builders.js'

const REGISTRATION = { service: 's', address: '10.0.0.9:8080', zone: 'z', version: 'v1', slots: 8, state: 'ready', coldLeftMs: 0, stage: 'decode', seq: 4, born: 1_700_000_000_000 }

function decodeWith (changes: object): unknown {
  return targetEntry.decodeTarget({ key: 'servers/i-1', version: 1, value: JSON.stringify({ ...REGISTRATION, ...changes }) })
}

function request (headers: Record<string, string>): http.IncomingMessage {
  return { method: 'POST', url: '/a/b?c=d', headers, rawHeaders: Object.entries(headers).flat() } as unknown as http.IncomingMessage
}

describe('target entries', () => {
  it('decode to a target with its id, address, failure domain, state and start', () => {
    chai.expect(decodeWith({})).to.deep.include({ id: 'i-1', address: '10.0.0.9:8080', domain: 'z', leaving: false, stage: 'decode', preemptible: false, startedAt: 1_700_000_000_000 })
    chai.expect(decodeWith({ state: 'draining', spot: true })).to.deep.include({ leaving: true, preemptible: true })
  })

  it('that do not describe a target are ignored, since other writers use the prefix too', () => {
    for (const changes of [{ state: 'busy' }, { address: 'nowhere' }, { slots: '8' }, { service: 5 }, { born: 1.5 }, { stage: 'both' }]) chai.expect(decodeWith(changes)).to.equal(undefined)
    chai.expect(targetEntry.decodeTarget({ key: 'servers/i-1', version: 1, value: 'null' })).to.equal(undefined)
  })
})

// Entries of other writers were listed as targets although no request can be sent there, or made the decoder throw.
describe('target entries of other writers', () => {
  for (const changes of [
    { address: '10.0.0.9:99999' }, { address: '10.0.0.9:0' }, { address: '10.0.0.9:65536' }, { address: '999.1.1.1:80' }, { address: '10.0.0.256:80' },
    { address: '010.0.0.9:80' }, { address: '10.0.0.9:80\n' }, { address: '10.0.0.9:080' },
    { slots: 1e15 }, { slots: 2.5 }, { slots: 0 }, { slots: 1e300 }, { born: -1 }, { born: 9e15 }, { born: 1e300 },
    { service: 's'.repeat(2_000) }, { zone: 'z'.repeat(2_000) }, { zone: null }, { spot: 'no' }, { state: undefined }
  ]) {
    it(`name no target: ${JSON.stringify(changes).slice(0, 60)}`, () => {
      chai.expect(decodeWith(changes)).to.equal(undefined)
    })
  }

  it('name no target when their id cannot be sent in a header', () => {
    for (const id of ['i\r\nx: y', '\u0107', ' ', 'i'.repeat(2_000)]) chai.expect(targetEntry.decodeTarget({ key: `servers/${id}`, version: 1, value: JSON.stringify(REGISTRATION) })).to.equal(undefined)
  })

  it('do not make the decoder throw when they are no JSON or nested deeply', () => {
    for (const value of ['', 'no JSON', '[', '"\\ud800"', '['.repeat(200_000) + ']'.repeat(200_000)]) chai.expect(targetEntry.decodeTarget({ key: 'servers/i-1', version: 1, value })).to.equal(undefined)
  })

  it('name a target when they have further fields', () => {
    chai.expect(decodeWith({ address: '10.255.0.1:65535', extra: { a: [1] } })).to.deep.include({ address: '10.255.0.1:65535' })
  })
})

describe('responses to a prefill', () => {
  const protocol = new targetProtocol.HttpTargetProtocol()
  const decode = (text: string): string | undefined => protocol.decodeKvHandle(Buffer.from(text))

  it('name the handle of a KV cache', () => {
    chai.expect(decode('{"kvHandle":"h-1","tokens":5,"version":1}')).to.equal('h-1')
  })

  // The decoded value of a response of 8 MiB ended the process at its heap limit.
  it('name none when they are large', () => {
    chai.expect(decode(`{"kvHandle":"h-1","x":${'['.repeat(100_000)}${']'.repeat(100_000)}}`)).to.equal(undefined)
    chai.expect(decode(`{"kvHandle":"${'h'.repeat(8_000)}"}`)).to.equal(undefined)
  })
})

describe('quotas', () => {
  it('are decoded per ms; without a rate there is none, and without a unit they count requests', () => {
    const tenants = [{ ratePerS: 5_000, burst: 9_000, unit: 'tokens', plainTokens: 200 }, { ratePerS: 0, burst: 9 }, { ratePerS: 4, burst: 8 }, {}].map((fields, index) => ({ name: `t${index}`, apiKeys: [], ...fields }))
    const text = JSON.stringify({ version: 7, routes: [], services: [], limits: { maxHeaderBytes: 1, maxBodyBytes: 2, headerTimeoutMs: 3, idleTimeoutMs: 4 }, tenants })
    chai.expect(servingConfig.decodeConfig(text).accounts!.map(({ quota }) => quota)).to.deep.equal([
      { unit: 'tokens', ratePerMs: 5, burst: 9_000, plainTokens: 200 }, undefined, { unit: 'requests', ratePerMs: 0.004, burst: 8, plainTokens: 0 }, undefined
    ])
  })
})

describe('requests of callers', () => {
  it('cannot set headers that only the gateway may set, and their key is not forwarded', () => {
    const req = new callerProtocol.HttpCallerProtocol().decode(request({
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

describe('requests to targets', () => {
  const protocol = new targetProtocol.HttpTargetProtocol()

  it('carry the account, the expected target, the remaining time, a valid priority and the KV source', () => {
    const headers = protocol.encodeHeaders(build.aCall({ account: 'acc' }), { target: build.aTarget('i-1'), remainingMs: 1_234.9, priority: 12, kvSource: { address: '1.2.3.4:5', handle: 'h' } })
    const text = headers.join(' ')
    for (const pair of ['tenant acc', 'expect-instance i-1', 'deadline-ms 1234', 'request-priority 9', 'kv-source 1.2.3.4:5/h']) chai.expect(text).to.contain(pair)
  })

  it('get a response head that tells whether the call was executed, without headers that are meant for the gateway', () => {
    const head = protocol.decodeHead(503, { 'request-id': 'r', 'not-executed': '1', 'server-load': '3,1,8', 'response-stamp': 's', connection: 'close', 'content-length': '0' })
    chai.expect(head).to.deep.include({ id: 'r', notExecuted: true, load: { running: 3, waiting: 1, slots: 8 }, headers: ['request-id', 'r', 'response-stamp', 's'] })
  })

  it('for KV handles and cache events survive malformed responses', () => {
    chai.expect(protocol.decodeKvHandle(Buffer.from('\u0000{'))).to.equal(undefined)
    chai.expect(protocol.decodeCacheChanges(Buffer.from('{"epoch":1}'))).to.equal(undefined)
    chai.expect(protocol.decodeCacheChanges(Buffer.from('{"epoch":1,"next":3,"lost":false,"events":[[2,"+","","ab",64,"m"]]}'))).to.deep.equal({ epoch: 1, next: 3, changes: [{ id: 'ab', tokens: 64 }] })
  })
})

describe('configuration', () => {
  it('decodes to idempotency, idle timeouts of callers, and prices', () => {
    const route = { name: 'r', host: 'H', pathPrefix: '/p/', kind: 'streaming', timeoutMs: 5_000, sloMs: 400, priority: 2, service: 's', maxAttempts: 2, public: false, sticky: true, resumable: true, gapTargetMs: 400 }
    const service = { name: 's', healthPath: '/h', maxConns: 5, protocol: 'h1', tls: false, engine: { slots: 4, kvCapacity: 100, kvTokenBytes: 8, linkMbps: 16 }, autoscale: { min: 1, max: 4, bootS: 4, spotPrice: 0.2, zonePrices: { z: 1 } } }
    const text = JSON.stringify({ version: '7', routes: [route, { ...route, name: 'q', kind: 'unsafe' }], services: [service], limits: { maxHeaderBytes: 1, maxBodyBytes: 2, headerTimeoutMs: 3, idleTimeoutMs: 4 }, tenants: [{ name: 't', apiKeys: ['k'] }] })
    const config = servingConfig.decodeConfig(text)
    chai.expect(config.version).to.equal(7)
    chai.expect(config.routes.map((decoded) => [decoded.idempotency, decoded.streaming, decoded.callerIdleTimeoutMs, decoded.host])).to.deep.equal([['resumable', true, 3_200, 'h'], ['non_idempotent', false, 5_000, 'h']])
    chai.expect(config.routes[0]!.gapSloMs).to.equal(400)
    chai.expect(config.services.get('s')?.engine).to.deep.equal({ slots: 4, kvCapacityTokens: 100, kvTokenBytes: 8, kvLinkBytesPerMs: 2_000 })
    chai.expect(config.services.get('s')?.orders).to.deep.include({ max: 4, deliveryMs: 4_000, preemptiblePrice: 0.2 })
  })
})
