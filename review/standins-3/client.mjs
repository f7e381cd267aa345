// Clients: send requests on kept connections, note each answer with its time, and leave as the pages say.
import * as http from 'node:http'
import * as wire from './wire.mjs'

/** Time without an event after which clients leave a stream: the longest of 2 s, 4 x 400 ms and 8 x 250 ms. */
const STREAM_GAP_MS = 2_000

let sent = 0

/** Sends requests to one gateway. */
export class Client {
  agent = new http.Agent({ keepAlive: true, maxSockets: 400 })

  constructor (port, key) {
    this.port = port
    this.key = key
  }

  /** Sends a request; resolves once it is answered, or the client has left at its deadline. */
  async send ({ kind, method, deadlineMs, headers = {}, stream = false }) {
    const id = (++sent).toString(16).padStart(16, '0')
    const result = { id, kind, sentAt: Date.now(), outcome: 'no answer', ms: deadlineMs }
    await new Promise((resolve) => {
      let gap
      let ended = false
      const end = (outcome) => {
        if (ended) return
        ended = true
        clearTimeout(timer)
        clearTimeout(gap)
        result.outcome = outcome
        result.ms = Date.now() - result.sentAt
        req.destroy()
        resolve()
      }
      const noteEvent = () => {
        clearTimeout(gap)
        gap = setTimeout(() => end('left: no event'), STREAM_GAP_MS)
      }
      const req = http.request({ host: wire.HOST, port: this.port, agent: this.agent, method, path: `/${kind}/1`, headers: { ...headers, host: 'tags.example', 'request-id': id, 'deadline-ms': deadlineMs, authorization: `Token ${this.key}`, ...(method === 'POST' ? { 'content-length': 0 } : {}) } }, (res) => {
        res.on('data', (data) => { if (stream && data.includes('data:')) noteEvent() })
        res.on('end', () => finish(String(res.statusCode)))
        res.on('error', () => end('broken off'))
      })
      const finish = (status) => {
        if (ended) return
        ended = true
        clearTimeout(timer)
        clearTimeout(gap)
        result.outcome = status
        result.ms = Date.now() - result.sentAt
        resolve()
      }
      req.on('error', (err) => end(err.code ?? 'error'))
      const timer = setTimeout(() => end('no answer'), deadlineMs)
      if (stream) noteEvent()
      req.end()
    })
    return result
  }
}
