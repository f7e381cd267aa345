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
export const SILENT_LOG = Object.assign(new EventEmitter(), { info () {}, warn () {}, error () {} }) as unknown as Logger

/** Entries, a platform and lease holders in virtual time, with a record of the requests counted. */
export class UsageWorld {
  readonly time = new VirtualTime()
  readonly platform = new MemoryPlatform(this.time.env(1))
  readonly metrics = new Metrics()
  readonly entries = new Map<string, FakeEntry>()
  /** Requests counted, by account. */
  readonly counted = new Map<string, number>()

  addEntry (id: string, domain = id): FakeEntry {
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

  /** Starts a lease holder whose usage duty runs each second while its handle is running. */
  startHolder (fence: number, intents: readonly Intent[] = []): { handle: FakeHandle, health: StoreHealth } {
    const handle = new FakeHandle(fence, intents)
    const health = new StoreHealth()
    const duty = new UsageDuty({
      clock: this.time,
      store: this.platform.store,
      metrics: this.metrics,
      health,
      windowMs: WINDOW_MS,
      shard: 0,
      log: SILENT_LOG,
      alive: () => this.alive(),
      reports: this.platform.reports,
      createRunner: (sender) => new DirectRunner(sender),
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

  /** Reports that differ from the first one of the same window and account. */
  conflictingReports (): string[] {
    const firstRows = new Map<string, string>()
    return this.platform.reports.received.flatMap(({ window, account, rows }) => {
      const key = `${window}/${account}`
      const rowsText = JSON.stringify(rows)
      if (!firstRows.has(key)) firstRows.set(key, rowsText)
      return firstRows.get(key) === rowsText ? [] : [key]
    })
  }
}

/** An entry that counts, replicates and flushes usage. */
export class FakeEntry {
  readonly counters = new UsageCounters()
  readonly handlers = new Map<string, PeerHandler>()
  alive = true
  /** Whether the others have evidence that a process that is not alive is terminated; a paused one leaves none. */
  terminationKnown = true
  child: UsageChild

  constructor (private readonly world: UsageWorld, readonly id: string, readonly domain: string) {
    const { time, platform, metrics } = world
    this.child = new UsageChild({
      env: time.env(2),
      log: SILENT_LOG,
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
        isTerminated: (other) => {
          const entry = world.entries.get(other)
          return entry?.alive === false && entry.terminationKnown
        }
      }
    })
    this.child.start()
  }

  /** Kills the process: nothing more is sent or written. */
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

/** Executes intents without timers. */
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

/**
 * A lease term that tests end. With `mayActNow` false it may not act and its writes fail; while `running` stays true,
 * the duty continues, as in a process that does not know yet that it lost the lease.
 */
export class FakeHandle implements ScopeHandle {
  readonly scope: string
  running = true
  mayActNow = true
  opened = 0
  private readonly openIntents: Intent[]
  private sequence = 0

  constructor (readonly fence: number, intents: readonly Intent[], scope = 'great-lakes/usage/0') {
    this.scope = scope
    this.openIntents = [...intents]
  }

  mayAct (): boolean {
    return this.mayActNow
  }

  intents (): readonly Intent[] {
    return this.openIntents
  }

  async open (subject: string, body: IntentBody): Promise<Result<Intent, StepError>> {
    if (!this.mayActNow || this.openIntents.some((intent) => intent.subject === subject)) return Err(new StepError('intent', this.scope, 'refused'))
    const intent = { id: `${this.scope}#${this.fence}.${++this.sequence}`, subject, fence: this.fence, senders: [`holder-${this.fence}`], body }
    this.openIntents.push(intent)
    this.opened++
    return Ok(intent)
  }

  async close (id: string): Promise<Result<void, StepError>> {
    if (!this.mayActNow) return Err(new StepError('intent', this.scope, 'refused'))
    this.openIntents.splice(this.openIntents.findIndex((intent) => intent.id === id), 1)
    return Ok(undefined)
  }
}
