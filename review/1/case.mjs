/** Two model servers answer a few requests with a failure whose body is short chunks without end. */
import * as path from 'node:path'
import * as url from 'node:url'
import * as deployments from '../standins/deployment.mjs'
import * as kept from '../standins/kept-client.mjs'

/** Load per second, as in the sheet of the deployment. */
const RECORDS_PER_S = 17
const STREAMS_PER_S = 60
const CLIENTS = 120
const LOAD_S = 46

/** Longest pause between events on the sheet, in ms. */
const LONGEST_PAUSE_MS = 400

/** Requests on kept connections that may be closed without an answer. */
const MAX_CLOSED = 3

/** Time after which the platform starts a process again that has ended, in ms. */
const RESTART_MS = 500

const spoiler = new deployments.Spoiler({ servers: ['i-model-0', 'i-model-1'], share: 0.02, atS: [6, 20, 34], forS: 5.5, how: { statusLine: '500 Failed', text: 'error\n' } })
const record = new deployments.Record()
const deployment = new deployments.Deployment(record, deployments.streamRoute('review', LONGEST_PAUSE_MS), (server) => spoiler.next(server))

/** Starts a gateway again whenever its process has ended, as the platform does, and notes its ends. */
async function supervise (gateway, until) {
  gateway.ends = 0
  while (Date.now() < until) {
    if (gateway.exited) {
      gateway.ends++
      record.note(`the process of ${gateway.name} has ended by itself: ${gateway.exit}: ${gateway.lines.find((line) => line.includes('FATAL')) ?? ''}`)
      gateway.lines = []
      await deployments.sleep(RESTART_MS)
      gateway.spawn()
    }
    await deployments.sleep(20)
  }
}

function encode ({ path: target, headers, body }) {
  const head = Object.entries(headers).map(([name, value]) => `${name}: ${value}`)
  return [`POST ${target} HTTP/1.1`, ...head, `Content-Length: ${body.length}`, '', body].join('\r\n')
}

async function play () {
  await deployment.start()
  const idleClients = Array.from({ length: CLIENTS }, (_, index) => new kept.KeptClient(deployment.directoriesOf(index), index % 3 === 0 ? 3 : 1))
  const send = async (route) => {
    const client = idleClients.shift()
    if (client === undefined) return
    const req = deployment.createRequest(route)
    const result = await client.send(encode(req), route.giveUpMs)
    idleClients.push(client)
    if (result === undefined) return
    const { status, closed, answeredBefore, address, sentAt, endedAt } = result
    const outcome = status !== undefined ? String(status) : closed ? 'connection closed without a complete answer' : 'given up by the client'
    deployment.results.push({ id: req.id, port: Number(address.split(':')[1]), sentAt, endedAt, outcome, isLost: closed === true && answeredBefore > 0 })
  }
  spoiler.begin = Date.now()
  const until = spoiler.begin + LOAD_S * 1_000
  const supervision = Promise.all(deployment.gateways.map(async (gateway) => await supervise(gateway, until)))
  await Promise.all([[deployments.RECORD, RECORDS_PER_S], [deployment.streams, STREAMS_PER_S]].map(async ([route, perS]) => await deployments.sendAtRate(perS, until, async () => await send(route))))
  await supervision
  deployment.noteResults()
  // Those that a sound server got; the connection had carried an answer before.
  const lost = deployment.results.filter(({ id, isLost }) => isLost && deployment.ranBy.has(id) && !deployment.spoilt.has(id))
  record.note(`spoilt answers: ${deployment.models.map((server) => `${server.id}: ${server.endless} of ${server.answers}`).join(', ')}`)
  record.note(`processes that ended by themselves: ${deployment.gateways.map((gateway) => `${gateway.name}: ${gateway.ends}`).join(', ')}`)
  record.note(`lost: ${lost.map(({ id }) => id).join(', ') || 'none'}`)
  record.note(`LOST: requests from kept connections, passed on to sound servers, whose connection was closed without an answer: ${lost.length}`)
  return lost.length > MAX_CLOSED ? 1 : 0
}

let exitCode = 2
try {
  exitCode = await play()
} catch (err) {
  record.note(`could not run: ${err.message}`)
} finally {
  await deployment.end()
}
record.note(exitCode === 1 ? 'LOST is broken' : exitCode === 0 ? 'LOST held' : 'not run')
record.write(path.dirname(url.fileURLToPath(import.meta.url)))
process.exit(exitCode)
