/** Two model servers answer a few requests with short lines without end, and without an empty line. */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as url from 'node:url'
import * as clients from '../standins/resolving-client.mjs'
import * as gateways from '../standins/gateway.mjs'
import * as models from '../standins/model-server.mjs'
import * as platforms from '../standins/platform.mjs'
import * as servers from '../standins/server.mjs'

const TROUBLE = process.env.TROUBLE !== '0'
const HERE = path.dirname(url.fileURLToPath(import.meta.url))

const GATEWAYS = 4
const MODEL_SERVERS = 6
const PLAIN_SERVERS = 3

/** Load as in the sheet of the deployment: per second. */
const RECORDS_PER_S = 20
const STREAMS_PER_S = 80
const CLIENTS = 24

const CALM_S = 8
/** Time for which answers are spoilt, and for which the load goes on afterwards. */
const TROUBLE_S = 5.5
const AFTER_S = 10

/** Servers that spoil answers, and the largest share of their answers that are spoilt. */
const FAULTY_SERVERS = 2
const SPOILT_SHARE = 0.02

const RECORD = { timeoutMs: 1_200, deadlineMs: 2_500 }
const STREAM = { timeoutMs: 5_000, deadlineMs: 5_000 }
/** Clients abandon a stream that has no event for so long. */
const STREAM_GAP_MS = 2_000

/** Time after its route's timeout by which a request must have its answer, in ms. */
const ANSWER_SLACK_MS = 500
const MIN_UNANSWERED = 8

const LINE = { text: 'x\n', linesPerMs: 20 }

const lines = []
const startedAt = Date.now()
const note = (text) => lines.push(`${String(Date.now() - startedAt).padStart(6)} ms  ${text}`)
const sleep = async (ms) => await new Promise((resolve) => setTimeout(resolve, ms))

let troubleBegins = Infinity
const faultyIds = Array.from({ length: FAULTY_SERVERS }, (_, index) => `i-model-${index}`)
const endlessBody = (server) => {
  const now = Date.now()
  if (!TROUBLE || now < troubleBegins || now > troubleBegins + TROUBLE_S * 1_000 || !faultyIds.includes(server.id)) return undefined
  server.answersInTrouble = (server.answersInTrouble ?? 0) + 1
  return server.endless + 1 <= server.answersInTrouble * SPOILT_SHARE ? LINE : undefined
}

const platform = new platforms.Platform()
await platform.listen()
const modelServers = Array.from({ length: MODEL_SERVERS }, (_, index) => new models.ModelServer(`i-model-${index}`, { slots: 128, note, endlessBody }))
const plainServers = Array.from({ length: PLAIN_SERVERS }, (_, index) => new servers.PlainServer(`i-plain-${index}`, { slots: 6, queue: 24, workMs: 40, rejectMs: 0, note: () => {}, sendsCopy: () => false }))
for (const [service, list] of [['model', modelServers], ['ledger', plainServers]]) {
  for (const server of list) {
    await server.listen()
    platform.write('servers', server.id, server.entry(service))
  }
}
const route = (name, kind, service, { timeoutMs }, extra) => ({ name, host: 'svc.example', pathPrefix: `/${name}/`, kind, service, timeoutMs, sloMs: 300, priority: 1, maxAttempts: 1, public: false, ...extra })
platform.write('config', 'main', {
  version: 1,
  routes: [route('record', 'unsafe', 'ledger', RECORD), route('verdict', 'streaming', 'model', STREAM, { maxAttempts: 2, resumable: true, gapTargetMs: 250, sticky: true })],
  services: [{ name: 'ledger', maxConns: 100 }, { name: 'model', maxConns: 620, engine: { slots: 128, kvCapacity: 978_044, kvTokenBytes: 18_432, linkMbps: 550_000 } }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'tenant', apiKeys: ['key'] }]
})

const results = []
let requests = 0
async function sendOne (client, name, { deadlineMs }, giveUpMs) {
  const id = `${name}-${++requests}`
  const isStream = name === 'verdict'
  const extra = isStream ? { Model: 'm', 'Token-Count': '900,5', 'Prompt-Prefix': `${requests.toString(16)}:900` } : {}
  const sent = await client.send({ path: `/${name}/1`, headers: { Host: 'svc.example', 'Request-Id': id, 'Deadline-Ms': deadlineMs, Authorization: 'Token key', ...extra }, body: 'body' }, giveUpMs)
  if (sent !== undefined) results.push({ id, name, ...sent })
}

/** Sends requests at a rate until `until`. */
async function load (clientList, name, perS, times, giveUpMs, until) {
  const pending = []
  for (let count = 0, begin = Date.now(); Date.now() < until; count++) {
    pending.push(sendOne(clientList[count % clientList.length], name, times, giveUpMs))
    await sleep(Math.max(0, begin + (count + 1) * 1_000 / perS - Date.now()))
  }
  await Promise.all(pending)
}

/** Longest time in which a gateway did not answer its readiness check, in ms. */
async function watchReadiness (gateway, until) {
  let longest = 0
  while (Date.now() < until) {
    const askedAt = Date.now()
    await fetch(`http://127.0.0.1:${gateway.ready}/-/readyz`, { signal: AbortSignal.timeout(Math.max(1, until - askedAt)) }).catch(() => {})
    longest = Math.max(longest, Date.now() - askedAt)
    await sleep(100)
  }
  return longest
}

const running = []
let exitCode = 2
try {
  for (let index = 0; index < GATEWAYS; index++) running.push(await gateways.Gateway.start(`gateway-${index}`, platform.address))
  for (const gateway of running) await gateway.untilReady()
  await sleep(2_000)
  const clientList = Array.from({ length: CLIENTS }, (_, index) => {
    const directories = running.map((gateway) => gateway.directory)
    return new clients.Client([...directories.slice(index % GATEWAYS), ...directories.slice(0, index % GATEWAYS)].slice(0, 3), index % 3 === 0 ? 3 : 1)
  })
  troubleBegins = Date.now() + CALM_S * 1_000
  const until = troubleBegins + (TROUBLE_S + AFTER_S) * 1_000
  const readiness = Promise.all(running.map(async (gateway) => await watchReadiness(gateway, until)))
  await Promise.all([load(clientList, 'record', RECORDS_PER_S, RECORD, RECORD.deadlineMs, until), load(clientList, 'verdict', STREAMS_PER_S, STREAM, STREAM_GAP_MS, until)])
  const longest = await readiness
  let allUnanswered = 0
  let allLate = 0
  for (const [index, gateway] of running.entries()) {
    const own = results.filter(({ port }) => port === gateway.front)
    const records = own.filter(({ name }) => name === 'record')
    const unanswered = records.filter(({ sentAt, answeredAt }) => (answeredAt ?? Infinity) > sentAt + RECORD.timeoutMs)
    const late = unanswered.filter(({ sentAt, answeredAt }) => (answeredAt ?? Infinity) > sentAt + RECORD.timeoutMs + ANSWER_SLACK_MS)
    const served = own.filter(({ res }) => res.status === 200 && res.complete).length
    note(`${gateway.name}: ${own.length} requests, ${served} served; longest time without an answer to the readiness check ${longest[index]} ms; records unanswered at the route's timeout: ${unanswered.length}, of these without an answer ${ANSWER_SLACK_MS} ms later: ${late.length}`)
    for (const { id, sentAt, answeredAt, res } of late) note(`  ${id} sent at ${sentAt - startedAt} ms, ${answeredAt === undefined ? 'no answer by its deadline' : `${res.status} after ${answeredAt - sentAt} ms`}`)
    allUnanswered += unanswered.length
    allLate += late.length
  }
  note(`all gateways: records unanswered at the route's timeout: ${allUnanswered}, of these without an answer ${ANSWER_SLACK_MS} ms later: ${allLate}`)
  note(`answers without end: ${modelServers.map((server) => `${server.id}: ${server.endless} of ${server.answers}`).join(', ')}`)
  exitCode = allUnanswered >= MIN_UNANSWERED && allLate > allUnanswered / 2 ? 1 : 0
} catch (err) {
  note(`could not run: ${err.stack}`)
} finally {
  for (const gateway of running) await gateway.end()
  note(exitCode === 1 ? 'CONFIG is broken' : exitCode === 0 ? 'CONFIG held' : 'not run')
  fs.writeFileSync(path.join(HERE, 'record.txt'), lines.join('\n') + '\n')
}
process.exit(exitCode)
