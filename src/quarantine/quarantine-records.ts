/**
 * Keeps quarantined segments in the store, so that they are known after all gateways have ended at once. One gateway writes
 * each of them; all read them once at their start.
 */
import * as z from 'zod'
import type * as external from '../external/index.js'
import type * as log from '../log/index.js'
import * as time from '../time/index.js'
import * as validation from '../validation/index.js'
import * as types from './types.js'

/** Key prefix of the stored segments. */
export const QUARANTINE_PREFIX = 'godwitpoint-quarantine/'

/** Time between two checks whether something is to be written, in ms. */
const CHECK_INTERVAL_MS = 500

/** Age from which a stored segment is deleted instead of used, in ms: its weights may have been replaced. */
const RECORD_LIFE_MS = 24 * 3_600_000

/** A stored segment, and when it was written, in ms since the Unix epoch. */
const QuarantineRecord = z.object({ suspect: types.ToldSuspect, writtenAt: z.number() })

/** Quarantine as far as it is stored. */
export interface StoredQuarantine {
  /** Applies a stored segment. */
  restore (told: types.ToldSuspect): void
  /** Segments that this gateway has to write, and that were quarantined or cleared since they were last {@link noteSaved}. */
  unsaved (): types.ToldSuspect[]
  noteSaved (told: types.ToldSuspect): void
  /** Counts all segments that are or were quarantined as unsaved: the store has lost what was written lately. */
  noteRestored (): void
}

/** Dependencies of the stored segments. */
export interface QuarantineRecordsDeps {
  readonly env: time.Env
  readonly store: external.ObjectStore
  readonly eras: external.StoreEras
  readonly quarantine: StoredQuarantine
  readonly log: log.Logger
}

/** Reads the stored segments at the start, and writes changes. */
export class QuarantineRecords implements Disposable {
  private task: time.RepeatingTask | undefined
  private loaded = false

  constructor (private readonly deps: QuarantineRecordsDeps) {
    deps.eras.onRestored((era) => this.writeAgain(era))
  }

  /** Starts to read, until a read succeeds, and to write. */
  start (): void {
    const { env, log } = this.deps
    this.task = new time.RepeatingTask(env.timers, CHECK_INTERVAL_MS, async () => await this.sync(), (err) => log.error({ err }, 'quarantine_records_failed'))
    this.task.runNow()
  }

  [Symbol.dispose] (): void {
    this.task?.[Symbol.dispose]()
  }

  private async sync (): Promise<void> {
    if (!this.loaded) await this.load()
    const unsaved = this.deps.quarantine.unsaved()
    const stored = await this.readStored(unsaved)
    const era = this.deps.eras.current
    for (const told of stored === undefined ? [] : unsaved) {
      // What was read before a restore does not tell what has to be written after it.
      if (this.deps.eras.current !== era) return
      await this.save(told, stored?.get(keyOf(told)))
    }
  }

  private writeAgain (era: number): void {
    this.deps.quarantine.noteRestored()
    const segments = this.deps.quarantine.unsaved().length
    if (segments > 0) this.deps.log.info({ era, segments }, 'quarantine_checked_again')
  }

  // One list costs less than a read for each segment.
  private async readStored (unsaved: readonly types.ToldSuspect[]): Promise<ReadonlyMap<string, external.StoredObject> | undefined> {
    const [first, ...others] = unsaved
    if (first === undefined) return undefined
    if (others.length > 0) {
      const list = await this.deps.store.list(QUARANTINE_PREFIX)
      return list.ok ? new Map(list.val.map((object) => [object.key, object])) : undefined
    }
    const stored = await this.deps.store.get(keyOf(first))
    if (stored.err) return undefined
    return new Map(stored.val === undefined ? [] : [[stored.val.key, stored.val]])
  }

  // A list that is seconds old is enough: gateways that run know what is newer, and tell it.
  private async load (): Promise<void> {
    const list = await this.deps.store.list(QUARANTINE_PREFIX, 'stale_ok')
    if (list.err) return
    this.loaded = true
    for (const object of list.val) await this.restore(object)
  }

  private async restore (object: external.StoredObject): Promise<void> {
    const record = decodeRecord(object.value)
    const isUsable = record !== undefined && this.deps.env.clock.wallTimeMs() - record.writtenAt < RECORD_LIFE_MS
    if (isUsable) {
      this.deps.quarantine.restore(record.suspect)
      return
    }
    this.deps.log.info({ key: object.key, malformed: record === undefined }, 'quarantine_record_dropped')
    const deleted = await this.deps.store.delete(object.key, object.version)
    if (deleted.err) this.deps.log.warn({ key: object.key, reason: deleted.val.message }, 'quarantine_record_failed')
  }

  private async save (told: types.ToldSuspect, stored: external.StoredObject | undefined): Promise<void> {
    const outcome = told.crashes.length === 0 ? await this.remove(stored) : await this.write(told, stored)
    if (outcome === undefined) this.deps.quarantine.noteSaved(told)
    else this.deps.log.warn({ segment: told.id, reason: outcome.message }, 'quarantine_record_failed')
  }

  private async remove (stored: external.StoredObject | undefined): Promise<external.StoreError | undefined> {
    if (stored === undefined) return undefined
    const deleted = await this.deps.store.delete(stored.key, stored.version)
    return deleted.err ? deleted.val : undefined
  }

  private async write (suspect: types.ToldSuspect, stored: external.StoredObject | undefined): Promise<external.StoreError | undefined> {
    if (stored !== undefined && isSame(decodeRecord(stored.value)?.suspect, suspect)) return undefined
    const record: z.infer<typeof QuarantineRecord> = { suspect, writtenAt: this.deps.env.clock.wallTimeMs() }
    const put = await this.deps.store.put(keyOf(suspect), JSON.stringify(record), stored?.version ?? 'absent')
    return put.err ? put.val : undefined
  }
}

function keyOf (told: types.ToldSuspect): string {
  return QUARANTINE_PREFIX + encodeURIComponent(told.id)
}

function isSame (stored: types.ToldSuspect | undefined, told: types.ToldSuspect): boolean {
  return stored?.clearances === told.clearances && stored.crashes.length === told.crashes.length && told.crashes.every((crash) => stored.crashes.includes(crash))
}

/** Other writers may put anything there: undefined for an object that is no stored segment. */
function decodeRecord (text: string): z.infer<typeof QuarantineRecord> | undefined {
  return validation.decodeJson(QuarantineRecord, text)
}
