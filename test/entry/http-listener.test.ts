import * as net from 'node:net'
import * as chai from 'chai'
import * as undici from 'undici'
import { CallerListener, MAX_BODY_BYTES } from '../../src/entry/index.js'
import { systemEnv } from '../../src/time/index.js'
import { EntryFixture } from './entry-fixture.js'

async function startListener (): Promise<AsyncDisposable & { fixture: EntryFixture, port: number }> {
  const fixture = new EntryFixture()
  const listener = new CallerListener(fixture.path, systemEnv().timers)
  const port = await listener.listen('127.0.0.1', 0)
  return { fixture, port, [Symbol.asyncDispose]: async () => await listener[Symbol.asyncDispose]() }
}

/** Sends raw bytes and returns everything received until the connection closes. */
async function sendRaw (port: number, text: string): Promise<string> {
  return await new Promise((resolve) => {
    let response = ''
    const socket = net.connect(port, '127.0.0.1', () => socket.write(text))
    socket.on('data', (data) => { response += String(data) })
    socket.on('close', () => resolve(response))
    socket.on('error', () => resolve(response))
  })
}

describe('CallerListener', () => {
  it('refuses a body that is too large, with a reason and a counter', async () => {
    await using entry = await startListener()
    const res = await undici.request(`http://127.0.0.1:${entry.port}/v1/completions`, { method: 'POST', body: 'x'.repeat(MAX_BODY_BYTES + 1) })
    chai.expect(res.statusCode).to.equal(413)
    chai.expect(await res.body.json()).to.have.nested.property('error.reason', 'request_too_large')
    chai.expect(entry.fixture.deps.metrics.counter('godwitpoint_refusals_total', 'reason="request_too_large",step="parse"')).to.equal(1)
  })

  it('refuses bytes that are not HTTP, and a head that is too large, with a reason', async () => {
    await using entry = await startListener()
    chai.expect(await sendRaw(entry.port, 'nonsense\r\n\r\n')).to.match(/^HTTP\/1.1 400 .*"reason":"malformed_request"/s)
    chai.expect(await sendRaw(entry.port, `GET / HTTP/1.1\r\nx: ${'y'.repeat(20_000)}\r\n\r\n`)).to.match(/^HTTP\/1.1 413 .*"reason":"request_too_large"/s)
  })

  it('refuses a request that takes longer than 10 s to arrive', async () => {
    await using entry = await startListener()
    const startedAt = performance.now()
    const response = await sendRaw(entry.port, 'POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nabc')
    chai.expect(response).to.match(/^HTTP\/1.1 408 .*"reason":"request_too_slow"/s)
    chai.expect(performance.now() - startedAt).to.be.below(13_000)
  })
})
