/** A case in which spoilt answers stop gateways: counts the records that get no answer within their route's timeout. */
import * as clients from './resolving-client.mjs'
import * as deployments from './deployment.mjs'

/** Load per second, as in the sheet of the deployment. */
const RECORDS_PER_S = 20
const STREAMS_PER_S = 80
const CLIENTS = 24

/** Longest pause between events on the sheet, in ms. */
const LONGEST_PAUSE_MS = 250

/** Time after its route's timeout by which a request must have its answer, in ms. */
const ANSWER_SLACK_MS = 500

/** Fewer unanswered requests break no rule. */
const MIN_UNANSWERED = 8

/** Longest time in which a gateway did not answer its readiness check, in ms. */
async function watchReadiness (gateway, until) {
  let longest = 0
  while (Date.now() < until) {
    const askedAt = Date.now()
    await fetch(`http://127.0.0.1:${gateway.ready}/-/readyz`, { signal: AbortSignal.timeout(Math.max(1, until - askedAt)) }).catch(() => {})
    longest = Math.max(longest, Date.now() - askedAt)
    await deployments.sleep(100)
  }
  return longest
}

/** Plays the load for `loadS`; resolves to the exit code of the case. */
async function play (deployment, record, spoiler, loadS) {
  await deployment.start()
  const clientList = Array.from({ length: CLIENTS }, (_, index) => new clients.Client(deployment.directoriesOf(index), index % 3 === 0 ? 3 : 1))
  const send = async (route, count) => {
    const req = deployment.createRequest(route)
    const sent = await clientList[count % CLIENTS].send(req, route.giveUpMs)
    if (sent === undefined) return
    const { res, port, sentAt, answeredAt } = sent
    deployment.results.push({ id: req.id, route, port, sentAt, endedAt: answeredAt ?? Date.now(), answeredAt, outcome: answeredAt === undefined ? 'no answer' : String(res.status) })
  }
  spoiler.begin = Date.now()
  const until = spoiler.begin + loadS * 1_000
  const readiness = Promise.all(deployment.gateways.map(async (gateway) => await watchReadiness(gateway, until)))
  await Promise.all([[deployments.RECORD, RECORDS_PER_S], [deployment.streams, STREAMS_PER_S]].map(async ([route, perS]) => await deployments.sendAtRate(perS, until, async (count) => await send(route, count))))
  const longest = await readiness
  deployment.noteResults()
  const { timeoutMs } = deployments.RECORD
  const isUnanswered = ({ sentAt, answeredAt }, ms) => (answeredAt ?? Infinity) > sentAt + ms
  const unanswered = deployment.results.filter((result) => result.route === deployments.RECORD && isUnanswered(result, timeoutMs))
  const late = unanswered.filter((result) => isUnanswered(result, timeoutMs + ANSWER_SLACK_MS))
  for (const [index, { name, front }] of deployment.gateways.entries()) {
    const own = deployment.results.filter(({ port }) => port === front)
    record.note(`${name}: ${own.length} requests, ${own.filter(({ outcome }) => outcome === '200').length} served; longest time without an answer to the readiness check ${longest[index]} ms; records without an answer ${timeoutMs + ANSWER_SLACK_MS} ms after they were sent: ${late.filter(({ port }) => port === front).length}`)
  }
  record.note(`spoilt answers: ${deployment.models.map((server) => `${server.id}: ${server.endless} of ${server.answers}`).join(', ')}`)
  record.note(`records unanswered at the route's timeout: ${unanswered.length}, of these without an answer ${ANSWER_SLACK_MS} ms later: ${late.length}`)
  return unanswered.length >= MIN_UNANSWERED && late.length > unanswered.length / 2 ? 1 : 0
}

/** Runs the case, writes its record into `folder` and ends the process with 0, 1 or 2. */
export async function run (folder, { spoiler, loadS }) {
  const record = new deployments.Record()
  const deployment = new deployments.Deployment(record, deployments.streamRoute('verdict', LONGEST_PAUSE_MS), (server) => spoiler.next(server))
  let exitCode = 2
  try {
    exitCode = await play(deployment, record, spoiler, loadS)
  } catch (err) {
    record.note(`could not run: ${err.message}`)
  } finally {
    await deployment.end()
  }
  record.note(exitCode === 1 ? 'CONFIG is broken' : exitCode === 0 ? 'CONFIG held' : 'not run')
  record.write(folder)
  process.exit(exitCode)
}
