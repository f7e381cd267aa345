import * as http from 'node:http'
import type * as net from 'node:net'
import * as chai from 'chai'
import type * as calls from '../../src/call/index.js'
import * as httpReply from '../../src/gateway/http-reply.js'

const HEAD: calls.ResponseHead = { status: 500, id: 'c1', notExecuted: false, wrongTarget: false, encoded: false, load: undefined, headers: [] }

/** What a caller gets from a response that is written by `write`. */
async function serve (write: (reply: httpReply.HttpReply) => void): Promise<string> {
  const server = http.createServer((req, res) => write(new httpReply.HttpReply(res, () => false)))
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  try {
    return await new Promise((resolve) => {
      http.get({ host: '127.0.0.1', port: (server.address() as net.AddressInfo).port, agent: false }, (res) => {
        let body = ''
        res.on('data', (data: Buffer) => { body += data.toString() })
        res.on('error', () => {})
        res.on('close', () => resolve(`${res.statusCode} ${body} ${res.complete ? 'complete' : 'broken off'}`))
      }).on('error', (err) => resolve(err.message))
    })
  } finally {
    server.closeAllConnections()
    await new Promise<void>((resolve) => { server.close(() => resolve()) })
  }
}

// A stream must never get the head, the body or the end of another response.
describe('HttpReply', () => {
  for (const closed of [false, true]) {
    it(`throws instead of sending a second head, and writes nothing of it${closed ? ', also when the connection is closed' : ''}`, async () => {
      let thrown: unknown
      const text = await serve((reply) => {
        reply.start({ ...HEAD, status: 200 })
        reply.write(Buffer.from('event'))
        setTimeout(() => {
          if (closed) reply.abort()
          try {
            reply.send(HEAD, Buffer.from('boom'))
          } catch (err) {
            thrown = err
          }
          reply.abort()
        }, 20)
      })
      chai.expect(text).to.equal('200 event broken off')
      chai.expect((thrown as Error | undefined)?.message).to.equal('the head of this response was already sent')
    })
  }
})
