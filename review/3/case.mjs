/**
 * Three sends of a non-idempotent request to two full servers; the server that is asked twice sends a second copy of its first
 * answer at the point where its second answer is expected.
 */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as url from 'node:url'
import * as client from '../standins/client.mjs'
import * as gateways from '../standins/gateway.mjs'
import * as platforms from '../standins/platform.mjs'
import * as servers from '../standins/server.mjs'

const TROUBLE = process.env.TROUBLE !== '0'
const HERE = path.dirname(url.fileURLToPath(import.meta.url))

/** Largest share of the answers of which a second copy is sent, as the deployment's `garble`, `extra late`. */
const COPY_SHARE = 0.03

const ROUNDS = 12
const WORK_MS = 130
const REJECT_MS = 90
/** Requests before each round that find free servers, so that copies stay below their share. */
const CALM_REQUESTS = 40
const DEADLINE_MS = 2_500

const lines = []
const startedAt = Date.now()
const note = (text) => lines.push(`${String(Date.now() - startedAt).padStart(6)} ms  ${text}`)
const sleep = async (ms) => await new Promise((resolve) => setTimeout(resolve, ms))

const ran = new Map()
const noteEvent = (text) => {
  note(text)
  const id = / runs (\S+)$/.exec(text)?.[1]
  if (id !== undefined) ran.set(id, (ran.get(id) ?? 0) + 1)
}
const sendsCopy = (server, status) => TROUBLE && status === 503 && server.copiesPlanned < Math.floor(server.answers * COPY_SHARE) && ++server.copiesPlanned > 0

const platform = new platforms.Platform()
await platform.listen()
const plain = ['i-a', 'i-b'].map((id) => new servers.PlainServer(id, { slots: 2, queue: 2, workMs: WORK_MS, rejectMs: REJECT_MS, note: noteEvent, sendsCopy }))
for (const server of plain) {
  server.copiesPlanned = 0
  await server.listen()
  platform.write('servers', server.id, server.entry('ledger'))
}
platform.write('config', 'main', {
  version: 1,
  routes: [{ name: 'record', host: 'svc.example', pathPrefix: '/record/', kind: 'unsafe', service: 'ledger', timeoutMs: 2_500, sloMs: 300, priority: 1, maxAttempts: 3, public: false }],
  services: [{ name: 'ledger', maxConns: 100 }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'tenant', apiKeys: ['key'] }]
})

let requests = 0
const answers = []
async function send (label, gateway) {
  const id = `${label}-${++requests}`
  note(`client sends ${id}`)
  const res = await client.request({ port: gateway.front, path: '/record/1', headers: { Host: 'svc.example', 'Request-Id': id, 'Deadline-Ms': DEADLINE_MS, Authorization: 'Token key' }, body: 'a record' })
  note(`client gets ${res.status} for ${id}${res.headers['response-stamp'] === undefined ? '' : ', signed'}`)
  answers.push({ id, status: res.status })
  return res
}

let first
let second
let exitCode = 2
try {
  first = await gateways.Gateway.start('gateway-1', platform.address)
  second = await gateways.Gateway.start('gateway-2', platform.address)
  await first.untilReady()
  await second.untilReady()
  await sleep(1_500)
  for (let round = 0; round < ROUNDS; round++) {
    for (let batch = 0; batch < CALM_REQUESTS / 2; batch++) await Promise.all([send('calm', first), send('calm', first)])
    // Fills the slots and the queues of both servers; the next request finds both of them full.
    const fill = Array.from({ length: 8 }, async () => await send('fill', second))
    await sleep(15)
    await Promise.all([...fill, send('late', first)])
    await sleep(300)
  }
  await sleep(500)
  const refusedButRan = answers.filter(({ id, status }) => (status === 503 || status === 429) && ran.has(id))
  const twice = [...ran].filter(([, times]) => times > 1)
  const copies = plain.map((server) => `${server.id}: ${server.copies} of ${server.answers} answers`).join(', ')
  note(`second copies: ${copies}`)
  note(`requests: ${answers.length}; answered 200: ${answers.filter(({ status }) => status === 200).length}; 503: ${answers.filter(({ status }) => status === 503).length}; 502: ${answers.filter(({ status }) => status === 502).length}`)
  note(`REFUSED: answered 503 though a server ran it: ${refusedButRan.map(({ id }) => id).join(', ') || 'none'}`)
  note(`TWICE: ${twice.map(([id]) => id).join(', ') || 'none'}`)
  exitCode = refusedButRan.length + twice.length > 0 ? 1 : 0
} catch (err) {
  note(`could not run: ${err.message}`)
} finally {
  await first?.end()
  await second?.end()
  fs.writeFileSync(path.join(HERE, 'record.txt'), lines.join('\n') + '\n')
}
process.exit(exitCode)
