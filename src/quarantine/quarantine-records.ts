/**
 * Keeps quarantined segments in the store, so that they are known after all gateways have ended at once. One gateway writes
 * each of them; all read them once at their start.
 */
import * as z from 'zod'
import type * as external from '../external/index.js'
import type * as log from '../log/index.js'
import * as time from '../time/index.js'
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
}

/** Dependencies of the stored segments. */
export interface QuarantineRecordsDeps {
  readonly env: time.Env
  readonly store: external.ObjectStore
  readonly quarantine: StoredQuarantine
  readonly log: log.Logger
}

/** Reads the stored segments at the start, and writes changes. */
export class QuarantineRecords implements Disposable {
  private task: time.RepeatingTask | undefined
  private loaded = false

  constructor (private readonly deps: QuarantineRecordsDeps) {}

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
    for (const told of this.deps.quarantine.unsaved()) await this.save(told)
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

  private async save (told: types.ToldSuspect): Promise<void> {
    const key = QUARANTINE_PREFIX + encodeURIComponent(told.id)
    const stored = await this.deps.store.get(key)
    if (stored.err) return
    const outcome = told.crashes.length === 0 ? await this.remove(stored.val) : await this.write(key, told, stored.val)
    if (outcome === undefined) this.deps.quarantine.noteSaved(told)
    else this.deps.log.warn({ segment: told.id, reason: outcome.message }, 'quarantine_record_failed')
  }

  private async remove (stored: external.StoredObject | undefined): Promise<external.StoreError | undefined> {
    if (stored === undefined) return undefined
    const deleted = await this.deps.store.delete(stored.key, stored.version)
    return deleted.err ? deleted.val : undefined
  }

  private async write (key: string, suspect: types.ToldSuspect, stored: external.StoredObject | undefined): Promise<external.StoreError | undefined> {
    const record: z.infer<typeof QuarantineRecord> = { suspect, writtenAt: this.deps.env.clock.wallTimeMs() }
    const put = await this.deps.store.put(key, JSON.stringify(record), stored?.version ?? 'absent')
    return put.err ? put.val : undefined
  }
}

/** Other writers may put anything there: undefined for an object that is no stored segment. */
function decodeRecord (text: string): z.infer<typeof QuarantineRecord> | undefined {
  try {
    return QuarantineRecord.parse(JSON.parse(text))
  } catch {
    return undefined
  }
}
