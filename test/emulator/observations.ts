/** What callers and servers saw of each request; the checks of the soak read it. */

/** One run of a request at a server. */
export interface Run {
  readonly server: string
  readonly account: string | undefined
  /** Whether the run was a prefill only. */
  readonly prefillOnly: boolean
  readonly startedAt: number
  /** Id of the event after which a stream was resumed. */
  readonly resumedAfter: number
  /** Events generated so far, including those before the resumption. */
  events: number
}

/** How a request ended at its caller: a status, or why there was none. */
export type Ending = number | 'closed' | 'left' | 'incomplete'

/** One request of a caller. */
export interface Observed {
  readonly id: string
  readonly route: string
  readonly account: string
  readonly key: string
  /** Entry that the request was sent to. */
  readonly entry: string
  readonly sentAt: number
  readonly runs: Run[]
  endedAt: number | undefined
  ending: Ending | undefined
  /** Faults of the response as the caller saw it. */
  readonly faults: string[]
}

/** All requests by id. */
export class Observations {
  readonly requests = new Map<string, Observed>()
  /** Runs of requests that no caller sent. */
  readonly unasked: string[] = []

  sent (id: string, fields: Pick<Observed, 'route' | 'account' | 'key' | 'entry' | 'sentAt'>): Observed {
    const observed: Observed = { id, ...fields, runs: [], endedAt: undefined, ending: undefined, faults: [] }
    this.requests.set(id, observed)
    return observed
  }

  /** Notes that a server began to run a request. */
  ran (id: string, run: Run): Run {
    const observed = this.requests.get(id)
    if (observed === undefined) this.unasked.push(`${id} at ${run.server}`)
    else observed.runs.push(run)
    return run
  }
}
