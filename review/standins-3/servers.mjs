// Sound model servers and plain servers (PROTOCOL.md). A model server can be made to write blank lines without end.
import * as http from 'node:http'
import * as wire from './wire.mjs'

const PREFILL_TOKENS_PER_MS = 157
const EVENT_MS = 8
const PLAIN_MS = 43
const HEARTBEAT_MS = 1_200
const BORN = Date.now()
const BLANK_LINES = Buffer.alloc(64 * 1024, '\n')

/** Starts a server of `service` that writes its entry; `serve` gets the requests that are meant for it. */
async function startServer (id, store, entry, serve) {
  const server = http.createServer({ keepAliveTimeout: 10_000 }, async (req, res) => {
    const body = await wire.readBody(req)
    const expected = req.headers['expect-instance']
    if (expected !== undefined && expected !== id) wire.sendJson(res, 421, {}, { 'instance-id': id })
    else await serve(req, res, body)
  })
  await wire.listen(server)
  let seq = 0
  const write = () => store.write(`servers/${id}`, { address: wire.addressOf(server), zone: 'gl-west', version: 1, state: 'ready', coldLeftMs: 0, seq: seq++, born: BORN, ...entry })
  write()
  setInterval(write, HEARTBEAT_MS)
}

/** A plain server; `note` is called with the id of each request that it has begun to work on. */
export async function startPlain (id, store, note) {
  let running = 0
  await startServer(id, store, { service: 'tag-ledger', slots: 6 }, async (req, res) => {
    const requestId = req.headers['request-id']
    note(id, requestId)
    running++
    await wire.delay(PLAIN_MS)
    running--
    const body = `record ${requestId} `.padEnd(800, '.')
    res.writeHead(200, { 'request-id': requestId, 'response-stamp': `${id}.${requestId}`, 'server-load': `${running},0,6`, 'content-length': body.length })
    res.end(body)
  })
}

/** A model server; while `isFaulty()`, its streams consist of blank lines without end, until the gateway closes them. */
export async function startEngine (id, store, note, isFaulty) {
  const cached = new Set()
  const epoch = 1
  await startServer(id, store, { service: 'inspect-llm', slots: 128, stage: 'decode', models: [{ name: 'm', version: 1, adapters: [] }] }, async (req, res) => {
    if (req.url.startsWith('/-/kv-events')) {
      await wire.delay(Math.min(1_000, Number(req.headers['wait-ms'] ?? 0)))
      wire.sendJson(res, 200, { epoch, next: 0, lost: false, events: [] })
      return
    }
    const requestId = req.headers['request-id']
    note(id, requestId, isFaulty() ? 'blank lines' : 'sound')
    const [, outputTokens = 1] = req.headers['token-count'].split(',').map(Number)
    const parts = req.headers['prompt-prefix'].split(',').map((part) => part.split(':'))
    const tokens = parts.filter(([part]) => !cached.has(part)).reduce((sum, [, count]) => sum + Number(count), 0)
    await wire.delay(5 + tokens / PREFILL_TOKENS_PER_MS)
    for (const [part] of parts.slice(0, -1)) cached.add(part)
    // A stream may have neither a length nor chunks, and end with its connection.
    if (isFaulty()) res.useChunkedEncodingByDefault = false
    res.writeHead(200, { 'request-id': requestId, 'response-stamp': `${id}.${requestId}`, 'content-type': 'text/event-stream' })
    if (isFaulty()) writeBlankLines(res)
    else await writeEvents(res, requestId, outputTokens)
  })
}

async function writeEvents (res, requestId, count) {
  for (let event = 1; event <= count && !res.destroyed; event++) {
    res.write(`id: ${event}\ndata: ${requestId} ${event}\n\n`)
    await wire.delay(EVENT_MS)
  }
  res.end()
}

function writeBlankLines (res) {
  while (!res.destroyed) {
    if (res.write(BLANK_LINES)) continue
    res.once('drain', () => writeBlankLines(res))
    return
  }
}
