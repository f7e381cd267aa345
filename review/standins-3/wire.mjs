// Small helpers for HTTP on loopback.
import * as http from 'node:http'
import * as net from 'node:net'

export const HOST = '127.0.0.1'

export async function delay (ms) {
  await new Promise((resolve) => { setTimeout(resolve, ms) })
}

export async function readBody (req) {
  const pieces = []
  for await (const piece of req) pieces.push(piece)
  return Buffer.concat(pieces)
}

export function sendJson (res, status, body, headers = {}) {
  const text = JSON.stringify(body)
  res.writeHead(status, { ...headers, 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  res.end(text)
}

export async function listen (server) {
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, HOST, resolve)
  })
}

export function addressOf (server) {
  return `${HOST}:${server.address().port}`
}

const taken = new Set()

/** A port that is free now and that this process has not given out before. */
export async function freePort () {
  for (;;) {
    const server = net.createServer()
    await listen(server)
    const { port } = server.address()
    await new Promise((resolve) => { server.close(resolve) })
    if (taken.has(port)) continue
    taken.add(port)
    return port
  }
}

/** Whether the platform's readiness check gets a 200 within its second. */
export async function isReady (port) {
  return await new Promise((resolve) => {
    const req = http.get({ host: HOST, port, path: '/-/readyz', timeout: 1_000, agent: false }, (res) => {
      res.resume()
      resolve(res.statusCode === 200)
    })
    req.on('timeout', () => req.destroy(new Error('timeout')))
    req.on('error', () => resolve(false))
  })
}
