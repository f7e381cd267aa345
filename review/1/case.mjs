/** A model server answers some requests with a failure whose body is short lines without end. */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as url from 'node:url'
import * as gateways from '../standins/gateway.mjs'
import * as kept from '../standins/kept-client.mjs'
import * as models from '../standins/model-server.mjs'
import * as platforms from '../standins/platform.mjs'
import * as servers from '../standins/server.mjs'

const TROUBLE = process.env.TROUBLE !== '0'
const HERE = path.dirname(url.fileURLToPath(import.meta.url))

const GATEWAYS = 4
const MODEL_SERVERS = 6
const PLAIN_SERVERS = 3

/** Load per second, as in the sheet of the deployment. */
const RECORDS_PER_S = 17
const STREAMS_PER_S = 60
const CLIENTS = 120

/** Times at which answers begin to be spoilt, for how long, and when the load ends; s. */
const TROUBLES_AT_S = [6, 20, 34]
const TROUBLE_S = 5.5
const END_S = 46

/** Servers that spoil answers, and the largest share of their answers that are spoilt. */
const FAULTY_SERVERS = 2
const SPOILT_SHARE = 0.02

const RECORD = { timeoutMs: 1_200, deadlineMs: 2_500, giveUpMs: 2_500 }
/** Clients abandon a stream after a gap of eight times the longest pause. */
const STREAM = { timeoutMs: 5_000, deadlineMs: 5_000, giveUpMs: 3_200 }

const ENDLESS = { statusLine: '500 Failed', text: 'error\n' }

/** Requests on kept connections that may be closed without an answer. */
const MAX_CLOSED = 3

/** Time after which the platform starts a process again that has ended, in ms. */
const RESTART_MS = 500

const lines = []
const startedAt = Date.now()
const note = (text) => lines.push(`${String(Date.now() - startedAt).padStart(6)} ms  ${text}`)
const sleep = async (ms) => await new Promise((resolve) => setTimeout(resolve, ms))

let loadBegins = Infinity
const faultyIds = Array.from({ length: FAULTY_SERVERS }, (_, index) => `i-model-${index}`)
const endlessBody = (server) => {
  const atS = (Date.now() - loadBegins) / 1_000
  if (!TROUBLE || !faultyIds.includes(server.id) || !TROUBLES_AT_S.some((begin) => atS >= begin && atS < begin + TROUBLE_S)) return undefined
  server.answersInTrouble = (server.answersInTrouble ?? 0) + 1
  return server.endless + 1 <= server.answersInTrouble * SPOILT_SHARE ? ENDLESS : undefined
}

const passedOn = new Set()
const platform = new platforms.Platform()
await platform.listen()
const modelServers = Array.from({ length: MODEL_SERVERS }, (_, index) => new models.ModelServer(`i-model-${index}`, { slots: 128, note, endlessBody, onRequest: (id, isSpoilt) => { if (!isSpoilt) passedOn.add(id) } }))
const plainServers = Array.from({ length: PLAIN_SERVERS }, (_, index) => new servers.PlainServer(`i-plain-${index}`, { slots: 6, queue: 24, workMs: 40, rejectMs: 0, note: (text) => { const id = / runs (\S+)$/.exec(text)?.[1]; if (id !== undefined) passedOn.add(id) }, sendsCopy: () => false }))
for (const [service, list] of [['model', modelServers], ['ledger', plainServers]]) {
  for (const server of list) {
    await server.listen()
    platform.write('servers', server.id, server.entry(service))
  }
}
const route = (name, kind, service, { timeoutMs }, extra) => ({ name, host: 'svc.example', pathPrefix: `/${name}/`, kind, service, timeoutMs, sloMs: 500, priority: 1, maxAttempts: 1, public: false, ...extra })
platform.write('config', 'main', {
  version: 1,
  routes: [route('record', 'unsafe', 'ledger', RECORD), route('review', 'streaming', 'model', STREAM, { maxAttempts: 2, resumable: true, gapTargetMs: 400, sticky: true })],
  services: [{ name: 'ledger', maxConns: 110 }, { name: 'model', maxConns: 630, engine: { slots: 128, kvCapacity: 807_835, kvTokenBytes: 18_432, linkMbps: 370_000 } }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'tenant', apiKeys: ['key'] }]
})

const results = []
let requests = 0
async function sendOne (client, name, { deadlineMs, giveUpMs }) {
  const number = ++requests
  const id = `${name}-${number}`
  const headers = { Host: 'svc.example', 'Request-Id': id, 'Deadline-Ms': deadlineMs, Authorization: 'Token key', 'Content-Length': 4 }
  if (name === 'review') Object.assign(headers, { Model: 'm', 'Token-Count': '900,12', 'Prompt-Prefix': `${number.toString(16)}:900` })
  const head = Object.entries(headers).map(([header, value]) => `${header}: ${value}`)
  const outcome = await client.send([`POST /${name}/1 HTTP/1.1`, ...head, '', 'body'].join('\r\n'), giveUpMs)
  if (outcome !== undefined) results.push({ id, ...outcome })
}

/** Sends requests at a rate until `until`, each by a client that has none in flight. */
async function load (idleClients, name, perS, times, until) {
  const pending = []
  for (let count = 0, begin = Date.now(); Date.now() < until; count++) {
    const client = idleClients.shift()
    if (client !== undefined) pending.push(sendOne(client, name, times).finally(() => idleClients.push(client)))
    await sleep(Math.max(0, begin + (count + 1) * 1_000 / perS - Date.now()))
  }
  await Promise.all(pending)
}

/** Starts a gateway again whenever its process has ended, and notes its ends. */
async function supervise (gateway, until) {
  while (Date.now() < until) {
    if (gateway.exited) {
      gateway.ends = (gateway.ends ?? 0) + 1
      note(`the process of ${gateway.name} has ended by itself: ${gateway.exit}: ${gateway.lines.find((line) => line.includes('FATAL')) ?? ''}`)
      gateway.lines = []
      await sleep(RESTART_MS)
      gateway.spawn()
    }
    await sleep(20)
  }
}

const running = []
let exitCode = 2
try {
  for (let index = 0; index < GATEWAYS; index++) running.push(await gateways.Gateway.start(`gateway-${index}`, platform.address))
  for (const gateway of running) await gateway.untilReady()
  await sleep(2_000)
  const idleClients = Array.from({ length: CLIENTS }, (_, index) => {
    const directories = running.map((gateway) => gateway.directory)
    return new kept.KeptClient([...directories.slice(index % GATEWAYS), ...directories.slice(0, index % GATEWAYS)].slice(0, 3), index % 3 === 0 ? 3 : 1)
  })
  loadBegins = Date.now()
  const until = loadBegins + END_S * 1_000
  const supervision = Promise.all(running.map(async (gateway) => await supervise(gateway, until)))
  await Promise.all([load(idleClients, 'record', RECORDS_PER_S, RECORD, until), load(idleClients, 'review', STREAMS_PER_S, STREAM, until)])
  await supervision
  const closed = results.filter(({ id, closed, answeredBefore }) => closed === true && answeredBefore > 0 && passedOn.has(id))
  for (const { id, address, sentAt, endedAt } of closed) note(`${id}, sent at ${sentAt - startedAt} ms on a kept connection to ${running.find((gateway) => address.endsWith(`:${gateway.front}`))?.name} and passed on to a sound server: the connection is closed without a complete answer at ${endedAt - startedAt} ms`)
  note(`requests: ${results.length}; answered 200: ${results.filter(({ status }) => status === 200).length}`)
  note(`answers without end: ${modelServers.map((server) => `${server.id}: ${server.endless} of ${server.answers}`).join(', ')}`)
  note(`processes that ended by themselves: ${running.map((gateway) => `${gateway.name}: ${gateway.ends ?? 0}`).join(', ')}`)
  note(`LOST: requests on kept connections, passed on to sound servers, whose connection was closed without an answer: ${closed.length}`)
  exitCode = closed.length > MAX_CLOSED ? 1 : 0
} catch (err) {
  note(`could not run: ${err.stack}`)
} finally {
  for (const gateway of running) await gateway.end()
  note(exitCode === 1 ? 'LOST is broken' : exitCode === 0 ? 'LOST held' : 'not run')
  fs.writeFileSync(path.join(HERE, 'record.txt'), lines.join('\n') + '\n')
}
process.exit(exitCode)
