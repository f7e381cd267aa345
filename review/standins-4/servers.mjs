/** Servers as the platform's pages describe them: model servers and plain ones, on loopback. */
import * as http from 'node:http'

/** Interval at which a model server works, in ms. */
const TICK_MS = 5

/** Prompt tokens that a model server reads in a ms, by stage. */
const TOKENS_PER_MS = { prefill: 120, decode: 60 }

/** Time between two events of a stream, and output tokens in one, in ms and tokens. */
const EVENT_MS = 10
const EVENT_TOKENS = 10

/** Requests that wait at a plain server before it rejects others. */
const PLAIN_QUEUE = 24

/** Largest head of a request, in bytes. */
const MAX_HEADER_BYTES = 65_536

/** Calls for cache events that a server keeps waiting, and for how long at most, in ms. */
const MAX_WAITERS = 12
const MAX_WAIT_MS = 1_000

/** Cache events that a server keeps: the newest ones. */
const KEPT_EVENTS = 32

/** What all servers share: their entry at the platform, the identity check, and what they saw. */
class Server {
  /** Requests that reached this server, as [time, id, what became of it]. */
  arrivals = []
  /** Whether the server reaches the platform. */
  connected = true
  /** Called with each request before it is handled; true when it has answered. */
  intercept = () => false
  born = Date.now()
  #server
  #beats

  constructor (id, platform, entry) {
    this.id = id
    this.platform = platform
    this.entry = entry
  }

  /** Starts to listen on a free port and to write the entry. */
  async start () {
    this.#server = http.createServer({ keepAliveTimeout: 5_000, maxHeaderSize: MAX_HEADER_BYTES }, (req, res) => { this.#receive(req, res).catch(() => res.destroy()) })
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${this.#server.address().port}`
    this.#beat()
    this.#beats = setInterval(() => this.#beat(), this.platform.heartbeatMs)
  }

  /** Ends the server. */
  stop () {
    clearInterval(this.#beats)
    this.#server.closeAllConnections()
    this.#server.close()
  }

  /** Notes what became of a request that reached this server. */
  note (req, outcome) {
    this.arrivals.push({ at: Date.now(), id: req.headers['request-id'], stage: req.headers.stage, outcome })
  }

  #beat () {
    if (this.connected) this.platform.beat(this.id, { version: 1, coldLeftMs: 0, seq: 0, state: 'ready', ...this.entry, address: this.address, born: this.born })
  }

  async #receive (req, res) {
    const chunks = []
    for await (const chunk of req) chunks.push(chunk)
    const expected = req.headers['expect-instance']
    if (expected !== undefined && expected !== this.id) answer(req, res, 421, {}, { 'instance-id': this.id })
    else if (!this.intercept(req, res)) this.handle(req, res)
  }
}

/** A plain server: `slots` requests at once, each of `workMs`. */
export class PlainServer extends Server {
  #running = 0
  #waiting = []

  constructor (id, platform, { service, zone, slots, workMs }) {
    super(id, platform, { service, zone, slots })
    this.slots = slots
    this.workMs = workMs
  }

  get load () {
    return { 'server-load': `${this.#running},${this.#waiting.length},${this.slots}` }
  }

  handle (req, res) {
    if (this.#waiting.length >= PLAIN_QUEUE) {
      this.note(req, 'rejected')
      answer(req, res, 503, {}, { ...this.load, 'not-executed': '1' })
      return
    }
    const run = () => {
      if (res.destroyed) return this.#next()
      this.#running++
      this.note(req, 'run')
      setTimeout(() => {
        this.#running--
        answer(req, res, 200, { of: req.headers['request-id'] }, { ...this.load, ...stamp(this.id, req) })
        this.#next()
      }, this.workMs)
    }
    if (this.#running < this.slots) run()
    else this.#waiting.push(run)
  }

  #next () {
    this.#waiting.shift()?.()
  }
}

/** A model server of one stage: reads prompts in order of arrival, and keeps the parts that it has read. */
export class ModelServer extends Server {
  #cached = new Set()
  #events = []
  #eventCount = 0
  #waiters = new Set()
  #prompts = []
  #streams = new Set()
  #handles = new Set()
  #handleCount = 0
  #ticker
  /** Whether the answer of a run is lost: its connection is reset. */
  losesAnswer = () => false

  constructor (id, platform, { service, zone, slots, stage }) {
    super(id, platform, { service, zone, slots, stage })
    this.slots = slots
    this.stage = stage
  }

  async start () {
    await super.start()
    this.#ticker = setInterval(() => this.#tick(), TICK_MS)
  }

  stop () {
    clearInterval(this.#ticker)
    super.stop()
  }

  get load () {
    return { 'server-load': `${this.#streams.size},${this.#prompts.length},${this.slots}` }
  }

  handle (req, res) {
    const [path] = req.url.split('?')
    if (path === '/-/kv-events') this.#sendEvents(req, res)
    else if (path.startsWith('/-/kv-handle/')) answer(req, res, this.#handles.delete(path.slice('/-/kv-handle/'.length)) ? 200 : 404, {})
    else this.#accept(req, res)
  }

  #accept (req, res) {
    const readsOnly = req.headers.stage === 'prefill'
    const handle = /\/([\w-]+)$/.exec(req.headers['kv-source'] ?? '')?.[1]
    if (readsOnly !== (this.stage === 'prefill')) {
      this.note(req, 'wrong stage')
      answer(req, res, 421, {}, { 'instance-id': this.id })
    } else if (this.#prompts.length + this.#streams.size >= this.slots * 2) {
      this.note(req, 'rejected')
      answer(req, res, 503, {}, { ...this.load, 'not-executed': '1' })
    } else {
      this.note(req, readsOnly ? 'read' : handle === undefined ? 'run' : 'run from a handle')
      const prompt = { req, res, readsOnly, parts: partsOf(req), tokensLeft: handle === undefined ? undefined : 1 }
      this.#prompts.push(prompt)
    }
  }

  #tick () {
    let budget = TICK_MS * TOKENS_PER_MS[this.stage]
    while (budget > 0 && this.#prompts.length > 0) {
      const prompt = this.#prompts[0]
      prompt.tokensLeft ??= Math.max(1, tokenCounts(prompt.req)[0] - this.#cachedTokens(prompt.parts))
      const tokens = prompt.res.destroyed ? prompt.tokensLeft : Math.min(budget, prompt.tokensLeft)
      if (!prompt.res.destroyed) budget -= tokens
      prompt.tokensLeft -= tokens
      if (prompt.tokensLeft > 0) continue
      this.#prompts.shift()
      if (!prompt.res.destroyed) this.#finishPrompt(prompt)
    }
    for (const stream of this.#streams) this.#sendEvent(stream)
  }

  #cachedTokens (parts) {
    let tokens = 0
    for (const part of parts) {
      if (!this.#cached.has(part.id)) break
      tokens += part.tokens
    }
    return tokens
  }

  #finishPrompt ({ req, res, readsOnly, parts }) {
    for (const { id, tokens } of parts) {
      if (this.#cached.has(id)) continue
      this.#cached.add(id)
      this.#events.push([++this.#eventCount, '+', '', id, tokens, 'm'])
    }
    this.#events.splice(0, this.#events.length - KEPT_EVENTS)
    for (const wake of this.#waiters) wake()
    if (!readsOnly) {
      this.#startStream(req, res)
      return
    }
    const kvHandle = `${this.id}-${++this.#handleCount}`
    this.#handles.add(kvHandle)
    answer(req, res, 200, { kvHandle, tokens: tokenCounts(req)[0], version: 1 }, this.load)
  }

  #startStream (req, res) {
    if (this.losesAnswer(req)) {
      this.arrivals.push({ at: Date.now(), id: req.headers['request-id'], outcome: 'answer lost' })
      res.socket.resetAndDestroy()
      return
    }
    res.writeHead(200, { ...this.load, ...stamp(this.id, req), 'request-id': req.headers['request-id'], 'content-type': 'text/event-stream' })
    const last = Math.max(1, Math.ceil(tokenCounts(req)[1] / EVENT_TOKENS))
    this.#streams.add({ res, id: req.headers['request-id'], event: Number(req.headers['last-event-id'] ?? 0), last, nextAt: 0 })
  }

  #sendEvent (stream) {
    const now = performance.now()
    if (stream.res.destroyed) this.#streams.delete(stream)
    else if (stream.event >= stream.last) this.#endStream(stream)
    else if (now >= stream.nextAt) {
      stream.event++
      stream.res.write(`id: ${stream.event}\ndata: ${stream.id} ${stream.event}\n\n`)
      stream.nextAt = now + EVENT_MS
      if (stream.event >= stream.last) this.#endStream(stream)
    }
  }

  #endStream (stream) {
    this.#streams.delete(stream)
    stream.res.end()
  }

  #sendEvents (req, res) {
    if (this.#waiters.size >= MAX_WAITERS) {
      answer(req, res, 429, {})
      return
    }
    const since = Number(new URL(req.url, 'http://server').searchParams.get('since') ?? 0)
    const sendNow = () => {
      this.#waiters.delete(sendNow)
      clearTimeout(timer)
      const events = this.#events.filter(([number]) => number > since)
      answer(req, res, 200, { epoch: this.born, next: this.#eventCount, lost: events.length < this.#eventCount - since, events }, this.load)
    }
    const timer = setTimeout(sendNow, this.#eventCount > since ? 0 : Math.min(MAX_WAIT_MS, Number(req.headers['wait-ms'] ?? 0)))
    this.#waiters.add(sendNow)
  }
}

/** Sends a complete answer with a JSON body. */
export function answer (req, res, status, body, headers = {}) {
  const text = JSON.stringify(body)
  const id = req.headers['request-id']
  res.writeHead(status, { ...headers, ...(id === undefined ? {} : { 'request-id': id }), 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  res.end(text)
}

function stamp (serverId, req) {
  return { 'response-stamp': `${serverId}.${req.headers['request-id']}` }
}

/** Tokens in and out; those that are no whole numbers count as 1. */
function tokenCounts (req) {
  const [tokensIn = '', tokensOut = ''] = (req.headers['token-count'] ?? '').split(',')
  return [tokensIn, tokensOut].map((text) => /^\d{1,9}$/.test(text) ? Number(text) : 1)
}

/** Parts of the prompt, up to the first that is not of the form ID:TOKENS with a whole number: the rest can't be shared. */
function partsOf (req) {
  const parts = []
  for (const entry of (req.headers['prompt-prefix'] ?? '').split(',')) {
    const match = /^([^:]+):(\d{1,9})$/.exec(entry.trim())
    if (match === null) break
    parts.push({ id: match[1], tokens: Number(match[2]) })
  }
  return parts
}
