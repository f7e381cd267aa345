/** Clients whose prompts have many parts, all sound, and what becomes of the gateway processes and of the requests that are in flight there. */
import * as http from 'node:http'
import * as path from 'node:path'
import * as runs from '../standins-4/run-case.mjs'
import * as site from '../standins-4/small-site.mjs'
import * as system from '../standins-4/system.mjs'

/** Clients of each route at each gateway; each has a connection that it keeps, and one request at a time. */
const CLIENTS = 10

/** Shared parts of a prompt, with the disruption and as on the sheet; each prompt has one part of its own besides. */
const MANY_PARTS = 1_000
const USUAL_PARTS = 1

/** Documents whose parts the prompts share, and tokens of one part. */
const DOCUMENTS = 8
const PART_TOKENS = 16

/** Time for which the clients send at most, in ms. */
const SEND_MS = 90_000

/** Time that a client waits for an answer, and its pause after one and after a failure, in ms. */
const DEADLINE_MS = 6_000
const PAUSE_MS = 20
const PAUSE_AFTER_FAILURE_MS = 500

/** Requests that may lose their kept connection without an answer (rule LOST). */
const ALLOWED = 3

const GATEWAYS = 2

const REPORT_MS = 5_000

await runs.runCase(path.dirname(new URL(import.meta.url).pathname), async (current) => {
  const { gateways, models, plains } = await site.startSmallSite(current, { accounts: ['ordinary'], gatewayCount: GATEWAYS, restarts: true })
  const parts = current.trouble ? MANY_PARTS : USUAL_PARTS
  const results = []
  const state = { stopped: false }
  const sendInTurn = async (gateway, prefix, route, headersFor) => {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 })
    for (let count = 0; !state.stopped; count++) {
      const result = await send(gateway, agent, route, `${prefix}-${count}`, headersFor(count))
      results.push(result)
      await system.delay(result.ending === 200 ? PAUSE_MS : PAUSE_AFTER_FAILURE_MS)
    }
    agent.destroy()
  }
  const clients = gateways.flatMap((gateway, index) => Array.from({ length: CLIENTS }, (_, member) => Promise.all([
    sendInTurn(gateway, `model-${index}-${member}`, 'triage', (count) => headersOf(parts, count % DOCUMENTS, `${index}${member}${count}`)),
    sendInTurn(gateway, `record-${index}-${member}`, 'record', () => ({}))
  ])))
  const lostRequests = () => {
    const accepted = new Map([...models, ...plains].flatMap((server) => server.arrivals.filter(({ outcome }) => /^(run|read)/.test(outcome)).map(({ id, outcome }) => [id, outcome])))
    return results.filter(({ id, ending, kept }) => ending === 'closed' && kept && accepted.has(id)).map(({ id }) => `${id} had reached a server (${accepted.get(id)}), and its kept connection ended without an answer`)
  }
  for (let ms = 0; ms < SEND_MS && lostRequests().length <= ALLOWED; ms += REPORT_MS) {
    await system.delay(REPORT_MS)
    for (const gateway of gateways) current.note(`${gateway.name}: resident ${gateway.residentMb()} MB, ended with ${gateway.exits.join(', ') || 'none'}; ${results.length} requests have ended`)
  }
  state.stopped = true
  await Promise.all(clients)
  const lost = lostRequests()
  for (const line of lost) current.note(line)
  current.note(`${results.length} requests, ${results.filter(({ ending }) => ending === 200).length} answered with 200, ${lost.length} lost`)
  for (const gateway of gateways) {
    current.note(`${gateway.name} ended with ${gateway.exits.join(', ') || 'none'}`)
    for (const line of gateway.lines.filter((text) => text.includes('FATAL'))) current.note(`${gateway.name} wrote: ${line.slice(0, 200)}`)
  }
  return lost.length > ALLOWED
})

// The parts of a document are the same in each request; ids have eight digits, as on the platform's page.
function headersOf (parts, document, own) {
  const shared = Array.from({ length: parts }, (_, part) => `${(0x10000000 + document * 0x10000 + part).toString(16)}:${PART_TOKENS}`)
  return { model: 'm', 'token-count': `${(parts + 1) * PART_TOKENS},10`, 'prompt-prefix': [...shared, `${own}:${PART_TOKENS}`].join(',') }
}

async function send (gateway, agent, route, id, headers) {
  return await new Promise((resolve) => {
    const settle = (ending) => {
      clearTimeout(timer)
      resolve({ id, ending, kept: req.reusedSocket })
    }
    const req = http.request({ ...gateway.front, method: 'POST', path: `/${route}/x`, agent, headers: { host: 'svc.example', 'request-id': id, authorization: 'Token key-of-ordinary', 'deadline-ms': String(DEADLINE_MS), ...headers } }, (res) => {
      res.resume()
      res.on('end', () => settle(res.statusCode))
      res.on('error', () => settle('incomplete'))
    })
    const timer = setTimeout(() => {
      settle('left')
      req.destroy()
    }, DEADLINE_MS)
    req.on('error', () => settle('closed'))
    req.end('question')
  })
}
