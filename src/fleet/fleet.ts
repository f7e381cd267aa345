/** The targets that there are. */
import type * as log from '../log/index.js'
import type * as serving from '../serving/index.js'
import type * as time from '../time/index.js'
import * as cacheUpdates from './cache-updates.js'
import * as peerLoad from './peer-load.js'
import * as targetState from './target-state.js'

/** Time for which a missing entry is not taken as gone after the list could not be read, in ms. */
const RETURN_GRACE_MS = 2_200

/** What a fleet needs from its surroundings. */
export interface FleetDeps {
  readonly clock: time.Clock
  readonly log: log.Logger
  /** Called when a target is gone, or its address belongs to another one. */
  readonly onRemoved: (address: string) => void
}

/** Targets by id, as their list in the store had them last. */
export class Fleet {
  private readonly targets = new Map<string, targetState.TargetState>()
  /** Load of other gateways. */
  readonly peerLoad = new peerLoad.PeerLoad()
  /** What this gateway learnt from engines, for the others. */
  readonly cacheUpdates = new cacheUpdates.CacheUpdates()
  private byService = new Map<string, targetState.TargetState[]>()
  private graceUntil = -Infinity

  constructor (private readonly deps: FleetDeps) {}

  /** Targets of a service, leaving ones included. */
  ofService (service: string): readonly targetState.TargetState[] {
    return this.byService.get(service) ?? []
  }

  /** All targets. */
  all (): Iterable<targetState.TargetState> {
    return this.targets.values()
  }

  /** Load of this gateway, for the others. */
  loadRows (): peerLoad.LoadRow[] {
    const rows: peerLoad.LoadRow[] = []
    for (const state of this.targets.values()) {
      const row = state.toRow()
      if (row !== undefined) rows.push(row)
    }
    return rows
  }

  /** Takes what another gateway learnt from engines. */
  applyCacheRows (rows: readonly cacheUpdates.CacheRow[]): void {
    for (const row of rows) {
      const state = this.targets.get(row.target)
      if (state === undefined || state.followed) continue
      if (row.restarted) state.cache.clear()
      for (const change of row.changes) state.cache.applyReport(change.id, change.tokens)
    }
  }

  /** Notes that the list could not be read: entries may have lapsed meanwhile though their targets live. */
  noteListFailure (): void {
    this.graceUntil = this.deps.clock.now() + RETURN_GRACE_MS
  }

  /** Takes the whole list. */
  apply (records: readonly serving.TargetRecord[]): void {
    const listed = new Set<string>()
    for (const record of records) {
      listed.add(record.id)
      this.update(record)
    }
    const lapsed = this.deps.clock.now() < this.graceUntil
    for (const state of [...this.targets.values()]) {
      if (!listed.has(state.record.id) && !(lapsed && !state.record.leaving)) this.remove(state)
    }
    this.index()
  }

  /** Takes a target's own word that another one answers at its address. */
  removeMisaddressed (state: targetState.TargetState): void {
    this.deps.log.info({ target: state.record.id, address: state.record.address }, 'target_replaced')
    this.remove(state)
    this.index()
  }

  private update (record: serving.TargetRecord): void {
    const state = this.targets.get(record.id)
    // An entry of an earlier start was written late.
    if (state !== undefined && record.startedAt < state.record.startedAt) return
    if (state === undefined || isRestart(state.record, record)) {
      if (state !== undefined) this.remove(state)
      this.targets.set(record.id, new targetState.TargetState(record, this.peerLoad))
      this.deps.log.info({ target: record.id, service: record.service, address: record.address, domain: record.domain, stage: record.stage, leaving: record.leaving, preemptible: record.preemptible }, 'target_listed')
      return
    }
    // A leaving target never comes back under the same start; an older entry may be read late.
    const leaving = state.record.leaving || record.leaving
    if (leaving && !state.record.leaving) this.deps.log.info({ target: record.id, service: record.service }, 'target_leaving')
    state.record = leaving === record.leaving ? record : { ...record, leaving }
  }

  private remove (state: targetState.TargetState): void {
    state.removed = true
    this.targets.delete(state.record.id)
    this.deps.onRemoved(state.record.address)
    this.deps.log.info({ target: state.record.id, service: state.record.service, address: state.record.address, was_leaving: state.record.leaving }, 'target_gone')
  }

  private index (): void {
    const byService = new Map<string, targetState.TargetState[]>()
    for (const state of this.targets.values()) {
      const list = byService.get(state.record.service) ?? []
      list.push(state)
      byService.set(state.record.service, list)
    }
    this.byService = byService
  }
}

function isRestart (held: serving.TargetRecord, record: serving.TargetRecord): boolean {
  return record.startedAt !== held.startedAt || record.address !== held.address || record.service !== held.service
}
