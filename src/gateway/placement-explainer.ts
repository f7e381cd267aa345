/** Answers over the peer port where a call would be placed now and why. No call is sent, and no state changes. */
import * as z from 'zod'
import type * as calls from '../call/index.js'
import * as errors from '../errors/index.js'
import * as peer from '../peer/index.js'
import * as placement from '../placement/index.js'
import type * as serving from '../serving/index.js'
import type * as time from '../time/index.js'
import * as validation from '../validation/index.js'

const EXPLAIN_METHOD = 'placement.explain'

/** Time allowed for a reply, in ms. */
const REPLY_TIMEOUT_MS = 3_000

const MAX_SEGMENTS = 1_000

/** A call to be explained: of a route, or of any route of a service. */
const ExplainReq = z.object({
  route: z.string().optional(),
  service: z.string().optional(),
  prompt: z.object({
    promptTokens: z.number().nonnegative(),
    outputTokens: z.number().nonnegative(),
    segments: validation.list(z.object({ id: z.string(), tokens: z.number().nonnegative() }), { max: MAX_SEGMENTS }).readonly()
  }).optional()
})
export type ExplainReq = z.infer<typeof ExplainReq>

/** An explanation, or why there is none. */
const ExplainRes = z.union([placement.Explanation, z.object({ error: z.string() })])

/** What an explanation is made of. */
export interface ExplainerDeps {
  readonly peers: peer.PeerServer
  readonly feed: Pick<serving.ConfigFeed, 'current'>
  readonly clock: Pick<time.Clock, 'now'>
  readonly placerFor: (call: calls.Call) => placement.Placer
}

/** Starts to answer. */
export function explainPlacements ({ peers, feed, clock, placerFor }: ExplainerDeps): void {
  peers.handle(EXPLAIN_METHOD, async (params) => {
    const call = createCall(ExplainReq.parse(params), feed.current()?.config, clock.now())
    return call.err ? { error: call.val } : placerFor(call.val).explain(call.val)
  })
}

/** Asks the gateway with the peer address `ip:port`; the error says why there is no answer. */
export async function requestExplanation (client: peer.PeerClient, address: string, req: ExplainReq): Promise<errors.Result<placement.Explanation, string>> {
  const reply = await client.call<unknown>(address, EXPLAIN_METHOD, req, REPLY_TIMEOUT_MS)
  if (reply.err) return errors.Err(`${address}: ${reply.val.message}`)
  const parsed = ExplainRes.safeParse(reply.val)
  if (!parsed.success) return errors.Err(`${address}: malformed explanation`)
  return 'error' in parsed.data ? errors.Err(`${address}: ${parsed.data.error}`) : errors.Ok(parsed.data)
}

/** The call as the gateway would make it of a request that arrives now; an error when route or service is not configured. */
function createCall (req: ExplainReq, config: serving.ServingConfig | undefined, now: number): errors.Result<calls.Call, string> {
  if (config === undefined) return errors.Err('no configuration yet')
  const route = config.routes.find(({ name, shares }) => req.route === undefined ? shares.some((share) => share.service === req.service) : name === req.route)
  if (route === undefined) return errors.Err(`no route ${req.route ?? `of service ${req.service ?? ''}`}`)
  const [largest] = [...route.shares].sort((a, b) => b.weight - a.weight)
  const service = config.services.get(req.service ?? largest?.service ?? '')
  if (service === undefined) return errors.Err(`no service ${req.service ?? largest?.service ?? ''}`)
  return errors.Ok({
    id: 'explain',
    method: 'POST',
    path: route.path,
    headers: [],
    body: new Uint8Array(0),
    route,
    service,
    configVersion: config.version,
    priority: route.priority,
    arrivedAt: now,
    deadlineAt: now + route.timeoutMs,
    prompt: req.prompt,
    checkAuthorization: () => undefined
  })
}
