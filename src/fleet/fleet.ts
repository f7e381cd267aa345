/** The known targets. */
import type * as exchange from '../exchange/index.js'
import type * as log from '../log/index.js'
import type * as serving from '../serving/index.js'
import type * as time from '../time/index.js'
import * as cacheUpdates from './cache-updates.js'
import * as engineSpeeds from './engine-speeds.js'
import * as peerLoad from './peer-load.js'
import * as removedTargets from './removed-targets.js'
import * as slowdowns from './slowdowns.js'
import * as targetState from './target-state.js'

/** Dependencies of a {@link Fleet}. */
export interface FleetDeps {
  readonly clock: time.Clock
  readonly log: log.Logger
  /** Called with the address of a target that was removed, or that another one uses. */
  readonly onRemoved: (address: string) => void
}

/** Targets by id and by service, as of the last list in the store. */
export class Fleet {
  private readonly targets = new Map<string, targetState.TargetState>()
  private readonly removed = new removedTargets.RemovedTargets()
  /** Load that other gateways report. */
  readonly peerLoad: peerLoad.PeerLoad
  /** Prefill speeds of the engines. */
  readonly speeds: engineSpeeds.EngineSpeeds
  /** Targets on which work takes longer or shorter at the moment. */
  readonly slowdowns: slowdowns.Slowdowns
  /** Cache changes that this gateway got from engines, and those that the other gateways tell. */
  readonly cacheUpdates = new cacheUpdates.CacheUpdates((rows) => this.applyCacheRows(rows))
  private byService = new Map<string, targetState.TargetState[]>()

  constructor (private readonly deps: FleetDeps) {
    this.peerLoad = new peerLoad.PeerLoad({ clock: deps.clock, ownRows: () => this.loadRows() })
    this.speeds = new engineSpeeds.EngineSpeeds(deps.clock)
    this.slowdowns = new slowdowns.Slowdowns({ clock: deps.clock, apply: (target, factor, at) => this.targets.get(target)?.work.note(factor, at) })
  }

  /** What gateways tell each other about targets. */
  get topics (): exchange.Topic[] {
    return [this.peerLoad, this.cacheUpdates, this.slowdowns, ...this.speeds.topics]
  }

  /** Targets of a service, leaving ones included. */
  ofService (service: string): readonly targetState.TargetState[] {
    return this.byService.get(service) ?? []
  }

  /** All targets. */
  all (): Iterable<targetState.TargetState> {
    return this.targets.values()
  }

  /** Number of segments that the cache estimates of all targets track. */
  get trackedSegments (): number {
    let segments = 0
    for (const { cache } of this.targets.values()) segments += cache.size
    return segments
  }

  // Load that this gateway puts on targets.
  private loadRows (): peerLoad.LoadRow[] {
    const rows: peerLoad.LoadRow[] = []
    for (const state of this.targets.values()) {
      const row = state.toRow()
      if (row !== undefined) rows.push(row)
    }
    return rows
  }

  // Targets that this gateway follows itself are skipped.
  private applyCacheRows (rows: readonly cacheUpdates.CacheRow[]): void {
    const now = this.deps.clock.now()
    for (const row of rows) {
      const state = this.targets.get(row.target)
      if (state === undefined || state.followed) continue
      if (row.restarted) state.cache.clear()
      for (const [id, tokens] of row.changes) state.cache.applyReport(id, tokens, now)
    }
  }

  /** Applies a complete list: adds, updates and removes targets. */
  apply (records: readonly serving.TargetRecord[], status: removedTargets.ListStatus = { era: 0 }): void {
    const listed = new Set<string>()
    for (const record of records) {
      listed.add(record.id)
      this.update(record, status)
    }
    this.removed.noteList(listed, status)
    for (const state of [...this.targets.values()]) {
      if (listed.has(state.record.id)) state.kept = undefined
      else this.keepOrRemove(state, status)
    }
    this.indexByService()
  }

  /**
   * Pauses a target after a response to a call that was sent at `sentAt` (ms, monotonic) showed that another one uses its
   * address, or that it is in another stage than listed. It stays known, since the list names it until its record expires.
   */
  noteMisaddressed (state: targetState.TargetState, sentAt: number): void {
    this.deps.log.info({ target: state.record.id, address: state.record.address }, 'target_replaced')
    state.failures.record('unreachable', sentAt, this.deps.clock.now())
    state.cache.clear()
    this.deps.onRemoved(state.record.address)
  }

  /** Notes that a target reported in a response that it is leaving: it gets no further calls, whatever the list says of it. */
  noteLeaving (state: targetState.TargetState): void {
    if (state.record.leaving) return
    state.record = { ...state.record, leaving: true }
    this.deps.log.info({ target: state.record.id, service: state.record.service, reported: true }, 'target_leaving')
  }

  private update (record: serving.TargetRecord, status: removedTargets.ListStatus): void {
    const state = this.targets.get(record.id)
    if (state === undefined && !this.removed.admit(record, status, this.deps.clock.now())) {
      if (this.removed.noteIgnored(record.id)) this.deps.log.info({ target: record.id, service: record.service, address: record.address, era: status.era }, 'target_return_ignored')
      return
    }
    // A record of an earlier incarnation that was written late.
    if (state !== undefined && record.startedAt < state.record.startedAt) return
    if (state === undefined || isRestart(state.record, record)) {
      if (state !== undefined) this.remove(state)
      this.targets.set(record.id, new targetState.TargetState(record, this))
      this.deps.log.info({ target: record.id, service: record.service, address: record.address, domain: record.domain, stage: record.stage, leaving: record.leaving, preemptible: record.preemptible }, 'target_listed')
      return
    }
    // A leaving target stays so until it restarts; an older record may be read late.
    const leaving = state.record.leaving || record.leaving
    if (leaving && !state.record.leaving) this.deps.log.info({ target: record.id, service: record.service }, 'target_leaving')
    state.record = leaving === record.leaving ? record : { ...record, leaving }
  }

  private keepOrRemove (state: targetState.TargetState, { era, keepUntil }: removedTargets.ListStatus): void {
    const now = this.deps.clock.now()
    // After a restore a target registers once more, also one that had just done so.
    const kept = state.kept !== undefined && era > state.kept.era && keepUntil !== undefined ? undefined : state.kept
    const until = kept?.until ?? keepUntil
    if (state.record.leaving || until === undefined || now >= until) {
      this.remove(state)
      this.removed.note(state.record, era, now)
      return
    }
    if (kept !== undefined) return
    state.kept = { since: state.kept?.since ?? now, until, era }
    this.deps.log.info({ target: state.record.id, service: state.record.service, for_ms: Math.round(until - now) }, 'target_kept')
  }

  private remove (state: targetState.TargetState): void {
    state.removed = true
    this.targets.delete(state.record.id)
    this.deps.onRemoved(state.record.address)
    this.deps.log.info({ target: state.record.id, service: state.record.service, address: state.record.address, was_leaving: state.record.leaving, missing_ms: state.missingMs(this.deps.clock.now()) }, 'target_gone')
  }

  private indexByService (): void {
    const byService = new Map<string, targetState.TargetState[]>()
    for (const state of this.targets.values()) {
      const list = byService.get(state.record.service) ?? []
      list.push(state)
      byService.set(state.record.service, list)
    }
    this.byService = byService
  }
}

function isRestart (current: serving.TargetRecord, record: serving.TargetRecord): boolean {
  return record.startedAt !== current.startedAt || record.address !== current.address || record.service !== current.service
}
