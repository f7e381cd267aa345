/** Types of routing. */
import type { CacheBatch } from '../target-clients/index.js'
import type { LoadReport, Role } from '../schema/index.js'

/** Attributes of a target that routing depends on. */
export interface RoutedTarget {
  readonly name: string
  readonly service: string
  readonly domain: string
  readonly url: string
  /** A leaving target gets no new requests. */
  readonly leaving: boolean
  readonly role: Role
}

/** What a request requires of a target. */
export interface RouteReq {
  readonly service: string
  /** Keys of the prompt's prefixes, shortest first; empty for plain requests. */
  readonly chain: readonly string[]
  readonly promptTokens: number
  readonly outputTokens: number
  /** Priority of the request from 0 to 9, 9 is the most urgent; 5 when absent. */
  readonly priority?: number
  /** False when prefill and decode must run on the same engine. */
  readonly split?: boolean
  /** Targets that already failed this request. */
  readonly exclude: ReadonlySet<string>
}

/** Target chosen for a request. */
export interface RouteChoice {
  readonly target: RoutedTarget
  /** Engine that prefills the prompt, when serving is split. */
  readonly prefillTarget?: RoutedTarget
  /** Prompt tokens that the target, or the prefill target, is estimated to have cached. */
  readonly cachedTokens?: number
}

/** How an attempt at a target ended. */
export type AttemptOutcome = 'ok' | 'failed' | 'silent' | 'not_run' | 'cancelled'

/** Chooses targets for requests. */
export interface Router {
  /** Replaces the set of targets. */
  setTargets (targets: readonly RoutedTarget[]): void
  /** Chooses the target of a request, `undefined` when there is none. */
  choose (req: RouteReq): RouteChoice | undefined
  /** Notes that an attempt was sent. */
  noteSent (attempt: string, target: string, req: RouteReq): void
  /** Notes that an attempt ended. */
  noteFinished (attempt: string, outcome: AttemptOutcome): void
  /** Notes that an engine has prefilled a complete prompt. */
  notePrefilled? (target: string, req: RouteReq): void
  /** Applies a load report that was requested at wall-clock time `requestedAt`, `undefined` when none was received. */
  applyLoad (target: string, report: LoadReport | undefined, requestedAt?: number): void
  /** Applies cache events. */
  applyCache (target: string, batch: CacheBatch): void
}
