/** Messages of routing. */
import type { CacheBatch } from '../target-clients/index.js'
import type { LoadReport, Role } from '../schema/index.js'

/** A target as routing knows it. */
export interface RoutedTarget {
  readonly name: string
  readonly service: string
  readonly domain: string
  readonly url: string
  /** A leaving target gets no new work. */
  readonly leaving: boolean
  readonly role: Role
}

/** What a request needs of a target. */
export interface RouteReq {
  readonly service: string
  /** Prefix chain of the prompt, empty for plain calls. */
  readonly chain: readonly string[]
  readonly promptTokens: number
  readonly outputTokens: number
  /** Priority of the caller, 0 to 9, 9 most urgent; 5 when absent. */
  readonly priority?: number
  /** False when prefill and decode must be on one engine. */
  readonly split?: boolean
  /** Targets that already failed this request. */
  readonly exclude: ReadonlySet<string>
}

/** Where a request goes. */
export interface RouteChoice {
  readonly target: RoutedTarget
  /** Engine that processes the prompt first, when serving is split. */
  readonly prefillTarget?: RoutedTarget
  /** Prompt tokens that the target is thought to have cached. */
  readonly cachedTokens?: number
}

/** How an attempt at a target ended. */
export type AttemptOutcome = 'ok' | 'failed' | 'silent' | 'not_run' | 'cancelled'

/** Chooses targets. */
export interface Router {
  /** Replaces the targets that exist. */
  setTargets (targets: readonly RoutedTarget[]): void
  /** The target for a request, `undefined` when there is none. */
  choose (need: RouteReq): RouteChoice | undefined
  /** Tells that an attempt was sent. */
  noteSent (attempt: string, target: string, need: RouteReq): void
  /** Tells that an attempt ended. */
  noteFinished (attempt: string, outcome: AttemptOutcome): void
  /** Tells that an engine has processed a whole prompt. */
  notePrefilled? (target: string, need: RouteReq): void
  /** Takes a load report that was asked for at wall time `askedAt`, or that none could be had. */
  applyLoad (target: string, report: LoadReport | undefined, askedAt?: number): void
  /** Takes cache events. */
  applyCache (target: string, batch: CacheBatch): void
}
