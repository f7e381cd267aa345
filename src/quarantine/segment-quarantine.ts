/**
 * Quarantine of prompt segments that crash engines. A segment is suspected when a target ends a connection under a call with
 * it that was not responded to yet, unless calls with the segment were completed lately. After enough targets it is
 * quarantined: calls with it are refused, but for a trial now and then by one of the gateways. A completed call clears it.
 *
 * Gateways tell each other the targets that ended under each segment. A clearance starts a new list with a higher number, so
 * it wins over what was told before, and lists of the same number are merged; the order of messages does not matter.
 */
import type * as calls from '../call/index.js'
import type * as exchange from '../exchange/index.js'
import * as hash from '../hash/index.js'
import type * as log from '../log/index.js'
import type * as serving from '../serving/index.js'
import type * as time from '../time/index.js'
import * as validation from '../validation/index.js'
import * as answeredSegments from './answered-segments.js'
import type * as records from './quarantine-records.js'
import * as types from './types.js'

/** Targets that must end under calls with a segment before it is quarantined; one or two may end for another reason. */
const QUARANTINE_CRASHES = 3

/** Time after its first event for which a response counts as just begun, in ms: its call may have ended the target. */
const RESPONSE_BEGIN_MS = 100

/** Time after which a segment is no longer suspected, unless it is quarantined, in ms. */
const SUSPICION_LIFE_MS = 120_000

/** Time from the quarantine to the first trial, in ms; each trial that ends a target doubles it, up to the longest one. */
const FIRST_TRIAL_MS = 30_000
const MAX_TRIAL_MS = 30 * 60_000

/** Targets remembered for a segment. */
const MAX_CRASHES = 16

/** Segments remembered; those that were suspected first are forgotten. */
const MAX_SUSPECTS = 2_048

/** Segments in one message, which must leave room for calls on a slow link. */
const MAX_TOLD = 200

const ToldSuspects = validation.list(types.ToldSuspect)

/** Sources that are no gateway's link: what this gateway found out itself, and what it read in the store. */
const OWN = ''
const STORE = 'store'

interface Suspect {
  readonly told: types.ToldSuspect
  /** When the last crash became known, and when a trial was last started here, in ms on the monotonic clock. */
  readonly notedAt: number
  readonly trialAt: number
  /** Gateway whose link told of the last change, {@link OWN} or {@link STORE}. */
  readonly source: string
  /** Position of the last change. */
  readonly position: number
}

/** An attempt whose connection was closed by the target; times in ms on the monotonic clock. */
export interface LostAttempt {
  readonly prompt: calls.Prompt
  readonly target: serving.TargetRecord
  readonly sentAt: number
  /** When the first event arrived; undefined before it. */
  readonly firstEventAt: number | undefined
}

/** Dependencies of a quarantine. */
export interface QuarantineDeps {
  readonly clock: time.Clock
  readonly selfName: string
  /** Names of the gateways that are up, this one included. */
  readonly gateways: () => readonly string[]
  readonly log: log.Logger
}

/** Knows suspected segments; a topic of the exchange. */
export class SegmentQuarantine implements exchange.Topic, records.StoredQuarantine {
  readonly name = 'quarantine'
  private readonly answered = new answeredSegments.AnsweredSegments()
  private readonly suspects = new Map<string, Suspect>()
  /** Ids of segments that were quarantined or cleared, and are not known to be stored so. */
  private readonly unsavedIds = new Set<string>()
  private position = 0

  constructor (private readonly deps: QuarantineDeps) {}

  /**
   * Admits a call with this prompt: returns undefined when it may be sent now, or else the time until the next trial, in ms.
   * Ids of quarantined segments of which the call becomes the trial are added to `trials`; they no longer keep it back.
   */
  admit (prompt: calls.Prompt, trials: Set<string>): number | undefined {
    const waitMs = this.waitMs(prompt, trials)
    if (waitMs !== undefined) return waitMs
    for (const suspect of this.quarantinedOf(prompt, trials)) {
      this.startTrial(suspect)
      trials.add(suspect.told.id)
    }
    return undefined
  }

  /** Takes back trials that were not sent, so that another call may become the trial. */
  returnTrials (trials: ReadonlySet<string>): void {
    for (const id of trials) {
      const suspect = this.suspects.get(id)
      if (suspect !== undefined) this.suspects.set(id, { ...suspect, trialAt: -Infinity })
    }
  }

  /** What {@link admit} would return now; starts no trial. */
  waitMs (prompt: calls.Prompt, trials: ReadonlySet<string>): number | undefined {
    const barred = this.quarantinedOf(prompt, trials).filter((suspect) => !this.mayStartTrial(suspect))
    return barred.length === 0 ? undefined : Math.max(0, ...barred.map((suspect) => this.trialDueAt(suspect) - this.now()))
  }

  /** Whether a segment of the prompt is quarantined, but for those of which the call is the trial. */
  isBarred (prompt: calls.Prompt, trials: ReadonlySet<string>): boolean {
    return this.quarantinedOf(prompt, trials).length > 0
  }

  /** Notes that a target closed the connection of an attempt that executed a call. */
  noteLost ({ prompt, target, sentAt, firstEventAt }: LostAttempt): void {
    const now = this.now()
    if (firstEventAt !== undefined && now - firstEventAt > RESPONSE_BEGIN_MS) return
    const ids = sharedIds(prompt).filter((id) => !this.answered.has(id, now))
    const quarantined = ids.filter((id) => this.isQuarantined(id))
    // A quarantined segment explains the crash, so the others are not suspected for it.
    for (const id of quarantined.length > 0 ? quarantined : ids) this.addCrash(id, `${target.id}/${target.startedAt}`, sentAt)
  }

  /** Notes that a call was completed: none of its segments crashes engines. */
  noteAnswered (prompt: calls.Prompt): void {
    const now = this.now()
    for (const id of sharedIds(prompt)) {
      this.answered.add(id, now)
      const suspect = this.suspects.get(id)
      if (suspect !== undefined && suspect.told.crashes.length > 0) this.clear(suspect, suspect.told.clearances + 1)
    }
  }

  changesSince (link: exchange.Link, position: number | undefined): exchange.Changes | undefined {
    const since = position ?? 0
    if (since === this.position && position !== undefined) return undefined
    const changed = [...this.suspects.values()].filter((suspect) => suspect.position > since).sort((a, b) => a.position - b.position)
    const sent = changed.slice(0, MAX_TOLD)
    const next = sent.length < changed.length ? sent[sent.length - 1]!.position : this.position
    return { next, payload: sent.filter((suspect) => suspect.source !== link.gateway).map((suspect) => suspect.told) }
  }

  apply (link: exchange.Link, payload: unknown): boolean {
    for (const told of ToldSuspects.parse(payload)) this.merge(told, link.gateway)
    return true
  }

  linkEnded (): void {}

  restore (told: types.ToldSuspect): void {
    this.merge(told, STORE)
  }

  unsaved (): types.ToldSuspect[] {
    return [...this.unsavedIds].filter((id) => this.isResponsibleFor(id)).flatMap((id) => this.suspects.get(id)?.told ?? [])
  }

  noteRestored (): void {
    for (const { told } of this.suspects.values()) {
      if (told.crashes.length === 0 || told.crashes.length >= QUARANTINE_CRASHES) this.unsavedIds.add(told.id)
    }
  }

  noteSaved (told: types.ToldSuspect): void {
    if (this.suspects.get(told.id)?.told === told) this.unsavedIds.delete(told.id)
  }

  private isQuarantined (id: string): boolean {
    const suspect = this.suspects.get(id)
    return suspect !== undefined && isQuarantined(suspect)
  }

  // An attempt that was sent before the last crash was known is no new sign: many targets may end at once.
  private addCrash (id: string, target: string, sentAt: number): void {
    const known = this.suspects.get(id)
    const crashes = known === undefined || this.hasExpired(known) ? [] : known.told.crashes
    if (crashes.includes(target) || (crashes.length > 0 && sentAt < known!.notedAt)) return
    this.set({ id, clearances: known?.told.clearances ?? 0, crashes: [...crashes, target].slice(-MAX_CRASHES) }, OWN)
  }

  private merge (told: types.ToldSuspect, source: string): void {
    const known = this.suspects.get(told.id)
    const knownClearances = known?.told.clearances ?? 0
    if (told.clearances < knownClearances) return
    if (told.crashes.length > 0 && this.answered.has(told.id, this.now())) {
      this.set({ id: told.id, clearances: told.clearances + 1, crashes: [] }, OWN)
      return
    }
    const own = known !== undefined && told.clearances === knownClearances ? known.told.crashes : []
    const crashes = [...new Set([...own, ...told.crashes])].slice(-MAX_CRASHES)
    const isNew = known === undefined || told.clearances > knownClearances || crashes.length > own.length
    if (isNew) this.set({ id: told.id, clearances: told.clearances, crashes }, source)
  }

  private clear (suspect: Suspect, clearances: number): void {
    if (isQuarantined(suspect)) this.deps.log.info({ segment: suspect.told.id, crashes: suspect.told.crashes.length }, 'segment_cleared')
    this.set({ id: suspect.told.id, clearances, crashes: [] }, OWN)
  }

  private set (told: types.ToldSuspect, source: string): void {
    const known = this.suspects.get(told.id)
    const suspect: Suspect = { told, notedAt: this.now(), trialAt: known?.trialAt ?? -Infinity, source, position: ++this.position }
    this.suspects.delete(told.id)
    this.suspects.set(told.id, suspect)
    const wasQuarantined = known !== undefined && isQuarantined(known)
    if (isQuarantined(suspect) !== wasQuarantined && source !== STORE) this.unsavedIds.add(told.id)
    if (isQuarantined(suspect) && !wasQuarantined) {
      this.deps.log.warn({ segment: told.id, crashes: told.crashes.join(','), gateway: source === OWN ? undefined : source }, 'segment_quarantined')
    }
    if (this.suspects.size > MAX_SUSPECTS) this.forget(this.suspects.keys().next().value!)
  }

  private forget (id: string): void {
    this.suspects.delete(id)
    this.unsavedIds.delete(id)
  }

  // One gateway tries a segment and stores it.
  private isResponsibleFor (id: string): boolean {
    return hash.rendezvous(id, this.deps.gateways(), 1)[0] === this.deps.selfName
  }

  private quarantinedOf (prompt: calls.Prompt, trials: ReadonlySet<string>): Suspect[] {
    const ids = new Set(sharedIds(prompt).filter((id) => !trials.has(id)))
    return [...ids].flatMap((id) => this.suspects.get(id) ?? []).filter(isQuarantined)
  }

  private mayStartTrial (suspect: Suspect): boolean {
    return this.now() >= this.trialDueAt(suspect) && this.isResponsibleFor(suspect.told.id)
  }

  private startTrial (suspect: Suspect): void {
    const { id } = suspect.told
    this.suspects.set(id, { ...suspect, trialAt: this.now() })
    this.deps.log.info({ segment: id, crashes: suspect.told.crashes.length }, 'segment_trial')
  }

  private trialDueAt (suspect: Suspect): number {
    const doublings = suspect.told.crashes.length - QUARANTINE_CRASHES
    return Math.max(suspect.notedAt, suspect.trialAt) + Math.min(MAX_TRIAL_MS, FIRST_TRIAL_MS * 2 ** doublings)
  }

  private hasExpired (suspect: Suspect): boolean {
    return !isQuarantined(suspect) && this.now() - suspect.notedAt > SUSPICION_LIFE_MS
  }

  private now (): number {
    return this.deps.clock.now()
  }
}

function isQuarantined (suspect: Suspect): boolean {
  return suspect.told.crashes.length >= QUARANTINE_CRASHES
}

/** Ids of the segments that calls may share: all but the last, which is the request's own. */
function sharedIds (prompt: calls.Prompt): string[] {
  return prompt.segments.slice(0, -1).map((segment) => segment.id)
}
