/** Entries that claim calls over one store and a network, all in virtual time. */
import { PageClaims, type Claim, type ClaimReq, type ClaimOutcome } from '../../src/claims/index.js'
import { Err, Ok, type Refusal, type Result } from '../../src/errors/index.js'
import type { PeerError, PeerHandler, Peers } from '../../src/peer/index.js'
import { MemoryStore } from '../../src/standin/index.js'
import { VirtualTime } from '../../src/time/index.js'

/** One store and several entries; `dead` entries neither answer nor are found. */
export class ClaimFleet {
  readonly time = new VirtualTime()
  readonly store = new MemoryStore(this.time)
  readonly entries: PageClaims[]
  readonly dead = new Set<number>()
  readonly retries: string[] = []
  private readonly handlers = new Map<string, PeerHandler>()

  constructor (count: number, seed = 1) {
    const owners = { isDead: (incarnation: string): boolean => this.dead.has(Number(incarnation.slice(1))) }
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

  /** A request with a key made now. */
  req (text: string, options: { request?: string, leftMs?: number } = {}): ClaimReq {
    return {
      account: 'ward', service: 'circulation', key: `${Math.floor(this.time.wallTimeMs())}-${text}`, request: options.request ?? 'body', deadlineAt: this.time.now() + (options.leftMs ?? 10_000)
    }
  }

  /** Claims at an entry and advances until it is decided. */
  async claim (entry: number, req: ClaimReq): Promise<Result<ClaimOutcome, Refusal>> {
    return await this.settle(this.entries[entry]!.claim(req))
  }

  /** Claims at an entry; fails unless the right to send is granted. */
  async granted (entry: number, req: ClaimReq): Promise<Claim> {
    const outcome = (await this.claim(entry, req)).unwrap()
    if (outcome.kind !== 'granted') throw new Error('expected a grant')
    return outcome.claim
  }

  /** Advances until a promise settles. */
  async settle<T> (work: Promise<T>): Promise<T> {
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

/** An answer with a text body. */
export function answer (text: string): { status: number, contentType: string, body: Uint8Array } {
  return { status: 200, contentType: 'text/plain', body: new TextEncoder().encode(text) }
}

/** `granted`, the text of the kept answer, or the reason and `ran` of the refusal. */
export function summary (outcome: Result<ClaimOutcome, Refusal>): string {
  if (outcome.err) return `${outcome.val.reason}/${outcome.val.detail.ran}`
  return outcome.val.kind === 'granted' ? 'granted' : new TextDecoder().decode(outcome.val.answer.body)
}
