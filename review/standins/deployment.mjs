/** A small deployment on loopback: the platform, servers, gateways and the clients' requests, with a record of all of them. */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as gateways from './gateway.mjs'
import * as models from './model-server.mjs'
import * as platforms from './platform.mjs'
import * as servers from './server.mjs'

const GATEWAYS = 4
const MODEL_SERVERS = 6
const PLAIN_SERVERS = 3

/** Time from the readiness of all gateways to the first request, in ms; they find each other meanwhile. */
const SETTLE_MS = 2_000

/** Routes of the deployment: times in ms, and after which time a client gives up. */
export const RECORD = { name: 'record', kind: 'unsafe', service: 'ledger', timeoutMs: 1_200, deadlineMs: 2_500, giveUpMs: 2_500, extra: {} }

/** A stream; a client gives up after a gap of 2 s, or of eight times the longest pause if that is longer. */
export function streamRoute (name, longestPauseMs) {
  const extra = { maxAttempts: 2, resumable: true, gapTargetMs: longestPauseMs, sticky: true }
  return { name, kind: 'streaming', service: 'model', timeoutMs: 5_000, deadlineMs: 5_000, giveUpMs: Math.max(2_000, 8 * longestPauseMs), extra }
}

export async function sleep (ms) {
  await new Promise((resolve) => setTimeout(resolve, ms))
}

/** Lines of the record, with the time since the start of the case. */
export class Record {
  lines = []
  startedAt = Date.now()

  note (text) {
    this.lines.push(`${String(Date.now() - this.startedAt).padStart(6)} ms  ${text}`)
  }

  write (folder) {
    fs.writeFileSync(path.join(folder, 'record.txt'), this.lines.join('\n') + '\n')
  }
}

/** All stand-ins and gateways of a case. */
export class Deployment {
  gateways = []
  /** Ids of servers that ran a request, by request. */
  ranBy = new Map()
  /** Requests whose answer was spoilt. */
  spoilt = new Set()
  results = []
  requests = 0

  /** `endlessBody` is asked for each request at a model server whether, and how, its answer is spoilt. */
  constructor (record, streams, endlessBody) {
    this.record = record
    this.streams = streams
    this.platform = new platforms.Platform()
    const note = (text) => record.note(text)
    const noteRun = (server, id) => { this.ranBy.set(id, [...this.ranBy.get(id) ?? [], server]) }
    this.models = Array.from({ length: MODEL_SERVERS }, (_, index) => new models.ModelServer(`i-model-${index}`, {
      slots: 128,
      note,
      endlessBody,
      onRequest: (server, id, isSpoilt) => {
        noteRun(server, id)
        if (isSpoilt) this.spoilt.add(id)
      }
    }))
    this.plains = Array.from({ length: PLAIN_SERVERS }, (_, index) => new servers.PlainServer(`i-plain-${index}`, {
      slots: 6,
      queue: 24,
      workMs: 40,
      rejectMs: 0,
      note: (text) => {
        const [, server, id] = /^(\S+) runs (\S+)$/.exec(text) ?? []
        if (id !== undefined) noteRun(server, id)
      },
      sendsCopy: () => false
    }))
  }

  async start () {
    await this.platform.listen()
    for (const [service, list] of [['model', this.models], ['ledger', this.plains]]) {
      for (const server of list) {
        await server.listen()
        this.platform.write('servers', server.id, server.entry(service))
      }
    }
    this.platform.write('config', 'main', {
      version: 1,
      routes: [RECORD, this.streams].map(({ name, kind, service, timeoutMs, extra }) => ({ name, host: 'svc.example', pathPrefix: `/${name}/`, kind, service, timeoutMs, sloMs: 400, priority: 1, maxAttempts: 1, public: false, ...extra })),
      services: [{ name: 'ledger', maxConns: 100 }, { name: 'model', maxConns: 620, engine: { slots: 128, kvCapacity: 978_044, kvTokenBytes: 18_432, linkMbps: 550_000 } }],
      limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
      tenants: [{ name: 'tenant', apiKeys: ['key'] }]
    })
    for (let index = 0; index < GATEWAYS; index++) this.gateways.push(await gateways.Gateway.start(`gateway-${index}`, this.platform.address))
    for (const gateway of this.gateways) await gateway.untilReady()
    await sleep(SETTLE_MS)
  }

  /** Ports where gateways tell addresses, for a client: up to three, nearest first. */
  directoriesOf (client) {
    const ports = this.gateways.map((gateway) => gateway.directory)
    return [...ports.slice(client % GATEWAYS), ...ports.slice(0, client % GATEWAYS)].slice(0, 3)
  }

  /** A request on a route: its id, the words of its head and its body. */
  createRequest (route) {
    const number = ++this.requests
    const id = `${route.name}-${number}`
    const model = route.service === 'model' ? { Model: 'm', 'Token-Count': '900,12', 'Prompt-Prefix': `${number.toString(16)}:900` } : {}
    return { id, path: `/${route.name}/1`, headers: { Host: 'svc.example', 'Request-Id': id, 'Deadline-Ms': route.deadlineMs, Authorization: 'Token key', ...model }, body: 'body' }
  }

  /** Notes what was sent, answered and run; `port` is that of the gateway. */
  noteResults () {
    const { startedAt } = this.record
    for (const { id, port, sentAt, endedAt, outcome } of this.results) {
      const name = this.gateways.find((gateway) => gateway.front === port)?.name
      this.record.note(`${id} sent at ${sentAt - startedAt} ms to ${name}: ${outcome} after ${endedAt - sentAt} ms; run by ${this.ranBy.get(id)?.join(', ') ?? 'none'}${this.spoilt.has(id) ? ' (answer spoilt)' : ''}`)
    }
  }

  async end () {
    for (const gateway of this.gateways) await gateway.end()
  }
}

/** Calls `send` at a rate until `until`, and waits for the last one. */
export async function sendAtRate (perS, until, send) {
  const pending = []
  for (let count = 0, begin = Date.now(); Date.now() < until; count++) {
    pending.push(send(count))
    await sleep(Math.max(0, begin + (count + 1) * 1_000 / perS - Date.now()))
  }
  await Promise.all(pending)
}

/** Decides which answers of the faulty servers are spoilt: a share of those in the given spans of time. */
export class Spoiler {
  begin = Infinity

  constructor ({ servers: ids, share, atS, forS, how }) {
    Object.assign(this, { ids, share, atS, forS, how })
  }

  /** How the answer that `server` is about to give is spoilt; undefined for a sound answer. */
  next (server) {
    const nowS = (Date.now() - this.begin) / 1_000
    if (process.env.TROUBLE === '0' || !this.ids.includes(server.id) || !this.atS.some((at) => nowS >= at && nowS < at + this.forS)) return undefined
    server.answersInTrouble = (server.answersInTrouble ?? 0) + 1
    return server.endless + 1 <= server.answersInTrouble * this.share ? this.how : undefined
  }
}
