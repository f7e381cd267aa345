/** Entries that claim calls through one store and a peer network, in virtual time. */
import { PageClaims, type Claim, type ClaimReq, type ClaimOutcome } from '../../src/claims/index.js'
import { Err, Ok, type Refusal, type Result } from '../../src/errors/index.js'
import type { PeerError, PeerHandler, Peers } from '../../src/peer/index.js'
import { MemoryStore } from '../../src/standin/index.js'
import { VirtualTime } from '../../src/time/index.js'

/** One store and several entries; `dead` entries refuse connections and are known to be dead. */
export class ClaimFleet {
  readonly time = new VirtualTime()
  readonly store = new MemoryStore(this.time)
  readonly entries: PageClaims[]
  readonly dead = new Set<number>()
  readonly retries: string[] = []
  private readonly handlers = new Map<string, PeerHandler>()

  constructor (count: number, seed = 1) {
    const owners = { isTerminated: (incarnation: string): boolean => this.dead.has(Number(incarnation.slice(1))) }
    this.entries = Array.from({ length: count }, (_, index) => new PageClaims({
      env: this.time.env(seed + index),
      store: this.store,
      onRetry: (reason) => this.retries.push(reason),
      incarnation: `e${index}`,
      peerAddress: () => `e${index}`,
      owners,
      peers: this.peersOf(`e${index}`)
    }))
  }

  /** A request whose key was created now. */
  req (text: string, options: { request?: string, remainingMs?: number } = {}): ClaimReq {
    return {
      account: 'ward', service: 'circulation', key: `${Math.floor(this.time.wallTimeMs())}-${text}`, request: options.request ?? 'body', deadlineAt: this.time.now() + (options.remainingMs ?? 10_000)
    }
  }

  /** Claims a call at an entry and advances time until the outcome. */
  async claim (entry: number, req: ClaimReq): Promise<Result<ClaimOutcome, Refusal>> {
    return await this.advanceUntilSettled(this.entries[entry]!.claim(req))
  }

  /** Claims a call at an entry; fails unless the claim is granted. */
  async claimGranted (entry: number, req: ClaimReq): Promise<Claim> {
    const outcome = (await this.claim(entry, req)).unwrap()
    if (outcome.kind !== 'granted') throw new Error('expected a grant')
    return outcome.claim
  }

  /** Advances time until a promise settles. */
  async advanceUntilSettled<T> (work: Promise<T>): Promise<T> {
    let settled = false
    work.then(() => { settled = true }, () => { settled = true })
    await this.time.advanceUntil(() => settled, 60_000)
    return await work
  }

  private peersOf (self: string): Peers {
    return {
      handle: (method, handler) => { this.handlers.set(`${self}/${method}`, handler) },
      call: async <T>(address: string, method: string, params: unknown): Promise<Result<T, PeerError>> => {
        const handler = this.handlers.get(`${address}/${method}`)
        if (handler === undefined || this.dead.has(Number(address.slice(1)))) return Err({ kind: 'refused', message: 'refused' })
        return Ok(await handler(params) as T)
      }
    }
  }
}

/** A response with a text body. */
export function textResponse (text: string): { status: number, contentType: string, body: Uint8Array } {
  return { status: 200, contentType: 'text/plain', body: new TextEncoder().encode(text) }
}

/** Returns `granted`, the text of the stored response, or the reason and `ran` of the refusal. */
export function summarize (outcome: Result<ClaimOutcome, Refusal>): string {
  if (outcome.err) return `${outcome.val.reason}/${outcome.val.detail.ran}`
  return outcome.val.kind === 'granted' ? 'granted' : new TextDecoder().decode(outcome.val.response.body)
}
