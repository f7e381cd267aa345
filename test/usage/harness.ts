import { EventEmitter } from 'node:events'
import type { ScopeHandle } from '../../src/authority/index.js'
import { UsageDuty } from '../../src/daemon/duties.js'
import { UsageChild } from '../../src/daemon/usage-child.js'
import { Err, Ok, StepError, type Result } from '../../src/errors/index.js'
import type { Logger } from '../../src/log/index.js'
import { Metrics } from '../../src/metrics/index.js'
import type { IntentSender } from '../../src/orders/index.js'
import type { PeerError, PeerHandler, Peers } from '../../src/peer/index.js'
import type { Intent, IntentBody } from '../../src/schema/index.js'
import { MemoryPlatform } from '../../src/standin/index.js'
import { delay, VirtualTime } from '../../src/time/index.js'
import { StoreHealth, UsageCounters } from '../../src/usage/index.js'

export const WINDOW_MS = 60_000
export const SERVICE = 'inspect-llm'
export const silent = Object.assign(new EventEmitter(), { info () {}, warn () {}, error () {} }) as unknown as Logger

/** Entries, a platform and scope holders in virtual time, and a ledger of what was counted. */
export class UsageWorld {
  readonly time = new VirtualTime()
  readonly platform = new MemoryPlatform(this.time.env(1))
  readonly metrics = new Metrics()
  readonly entries = new Map<string, FakeEntry>()
  /** Requests counted, by account. */
  readonly counted = new Map<string, number>()

  join (id: string, domain = id): FakeEntry {
    const entry = new FakeEntry(this, id, domain)
    this.entries.set(id, entry)
    return entry
  }

  alive (): string[] {
    return [...this.entries.values()].filter((entry) => entry.alive).map((entry) => entry.id)
  }

  count (entry: FakeEntry, account: string, requests = 1): void {
    if (!entry.alive) return
    entry.counters.add(account, SERVICE, { requests, promptTokens: 100 * requests, outputTokens: 10 * requests })
    this.counted.set(account, (this.counted.get(account) ?? 0) + requests)
  }

  /** Starts a holder whose duty ticks each second until its handle is lost. */
  hold (fence: number, intents: readonly Intent[] = []): { handle: FakeHandle, health: StoreHealth } {
    const handle = new FakeHandle(fence, intents)
    const health = new StoreHealth()
    const duty = new UsageDuty({
      clock: this.time,
      store: this.platform.store,
      metrics: this.metrics,
      health,
      windowMs: WINDOW_MS,
      shard: 0,
      log: silent,
      alive: () => this.alive(),
      reports: this.platform.reports,
      runner: (sender) => new DirectRunner(sender),
      reporter: `holder-${fence}`
    })
    this.time.every(1_000, () => { if (handle.running) duty.tick(handle).catch((err: unknown) => { throw err }) })
    return { handle, health }
  }

  /** Requests billed, by account, over all windows. */
  billed (): Map<string, number> {
    const sums = new Map<string, number>()
    for (const bill of this.platform.reports.bills.values()) {
      for (const row of bill.rows) sums.set(bill.account, (sums.get(bill.account) ?? 0) + row.requests)
    }
    return sums
  }

  /** Reports that differ from an earlier one of the same window and account. */
  contradictions (): string[] {
    const first = new Map<string, string>()
    return this.platform.reports.received.flatMap(({ window, account, rows }) => {
      const key = `${window}/${account}`
      const text = JSON.stringify(rows)
      if (!first.has(key)) first.set(key, text)
      return first.get(key) === text ? [] : [key]
    })
  }
}

export class FakeEntry {
  readonly counters = new UsageCounters()
  readonly handlers = new Map<string, PeerHandler>()
  alive = true
  child: UsageChild

  constructor (private readonly world: UsageWorld, readonly id: string, readonly domain: string) {
    const { time, platform, metrics } = world
    this.child = new UsageChild({
      env: time.env(2),
      log: silent,
      metrics,
      store: platform.store,
      peers: this.peers(),
      counters: this.counters,
      health: new StoreHealth(),
      owner: { incarnation: id, domain },
      windowMs: WINDOW_MS,
      flushMs: 5_000,
      shards: 1,
      members: {
        alive: () => world.alive().filter((other) => other !== id).map((other) => ({ incarnation: other, address: other, domain: world.entries.get(other)!.domain })),
        isDead: (other) => world.entries.get(other)?.alive === false
      }
    })
    this.child.start()
  }

  /** Ends the process at once: nothing more is sent or written. */
  kill (): void {
    this.alive = false
    const timers = this.child as unknown as { timers: Disposable[] }
    for (const timer of timers.timers.splice(0)) timer[Symbol.dispose]()
  }

  private peers (): Peers {
    const { world } = this
    return {
      handle: (method, handler) => { this.handlers.set(method, handler) },
      async call<T> (address: string, method: string, params: unknown): Promise<Result<T, PeerError>> {
        await delay(world.time, 3)
        const peer = world.entries.get(address)
        if (peer?.alive !== true) return Err({ kind: 'refused', message: 'connection refused' })
        return Ok(await peer.handlers.get(method)!(params) as T)
      }
    }
  }
}

/** Carries intents out without timers. */
export class DirectRunner {
  constructor (private readonly sender: IntentSender) {}

  async submit (handle: ScopeHandle, subject: string, body: IntentBody): Promise<Result<Intent, StepError>> {
    const opened = await handle.open(subject, body)
    if (opened.ok) await this.advance(handle, opened.val)
    return opened
  }

  async advanceAll (handle: ScopeHandle): Promise<void> {
    for (const intent of [...handle.intents()]) await this.advance(handle, intent)
  }

  private async advance (handle: ScopeHandle, intent: Intent): Promise<void> {
    if (handle.mayAct()) await this.sender.send({ ...intent, fence: handle.fence })
    const confirmed = await this.sender.confirm(intent)
    if (confirmed.ok && confirmed.val) await handle.close(intent.id)
  }
}

/** A tenure that tests end; `deposed` lets it send on as a paused process would, but its writes fail. */
export class FakeHandle implements ScopeHandle {
  readonly scope: string
  running = true
  held = true
  opened = 0
  private readonly open_: Intent[]
  private sequence = 0

  constructor (readonly fence: number, intents: readonly Intent[], scope = 'great-lakes/usage/0') {
    this.scope = scope
    this.open_ = [...intents]
  }

  mayAct (): boolean {
    return this.held
  }

  intents (): readonly Intent[] {
    return this.open_
  }

  async open (subject: string, body: IntentBody): Promise<Result<Intent, StepError>> {
    if (!this.held || this.open_.some((intent) => intent.subject === subject)) return Err(new StepError('intent', this.scope, 'refused'))
    const intent = { id: `${this.scope}#${this.fence}.${++this.sequence}`, subject, fence: this.fence, senders: [`holder-${this.fence}`], body }
    this.open_.push(intent)
    this.opened++
    return Ok(intent)
  }

  async close (id: string): Promise<Result<void, StepError>> {
    if (!this.held) return Err(new StepError('intent', this.scope, 'refused'))
    this.open_.splice(this.open_.findIndex((intent) => intent.id === id), 1)
    return Ok(undefined)
  }
}
