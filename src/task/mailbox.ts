/** Bounded message queues of tasks. */
import * as most from 'most'

/** Maximum number of messages queued before the stream is observed; further ones are rejected. */
export const MAILBOX_LIMIT = 10_000

/** A queue of messages for one task, read as an event stream in order of arrival. */
export class Mailbox<M> {
  private sink: most.Sink<M> | undefined
  private queued: M[] = []
  private nextEventTime = 0

  /** The messages; may be observed once. */
  readonly stream: most.Stream<M> = new most.Stream<M>({
    run: (sink) => {
      this.sink = sink
      for (const message of this.queued.splice(0)) this.send(message)
      return { dispose: () => { this.sink = undefined } }
    }
  })

  /** Adds a message; returns false when the mailbox is full. */
  send (message: M): boolean {
    if (this.sink !== undefined) {
      this.sink.event(this.nextEventTime++, message)
      return true
    }
    if (this.queued.length >= MAILBOX_LIMIT) return false
    this.queued.push(message)
    return true
  }

  /** Ends the stream. */
  close (): void {
    this.sink?.end(this.nextEventTime++)
    this.sink = undefined
  }
}
